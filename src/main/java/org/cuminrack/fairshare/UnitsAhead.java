package org.cuminrack.fairshare;

import java.util.HashMap;
import java.util.Map;

/** The capacity that requests wait for at this gateway before another one. Not thread-safe. */
final class UnitsAhead {
  private final Map<Claimant, Long> byClaimant = new HashMap<>();
  private long all;

  void add(QueueEntry entry) {
    all += entry.request.units();
    byClaimant.merge(entry.request.claimant(), entry.request.units(), Long::sum);
  }

  long all() {
    return all;
  }

  long of(Claimant claimant) {
    return byClaimant.getOrDefault(claimant, 0L);
  }
}
