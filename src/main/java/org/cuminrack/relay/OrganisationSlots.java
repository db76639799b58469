package org.cuminrack.relay;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cuminrack.config.Organisation;

/** Counts each organisation's requests on this entry. Safe for use by many threads. */
final class OrganisationSlots {
  private final ConcurrentMap<String, Integer> taken = new ConcurrentHashMap<>();

  /** Takes a slot; false where the organisation has none left. */
  boolean take(Organisation organisation) {
    int limit = organisation.maxConcurrentRequests();
    boolean[] granted = new boolean[1];
    taken.compute(
        organisation.name(),
        (name, count) -> {
          int before = count == null ? 0 : count;
          granted[0] = before < limit;
          return granted[0] ? Integer.valueOf(before + 1) : count;
        });
    return granted[0];
  }

  /** Gives a slot back. */
  void give(String organisation) {
    taken.computeIfPresent(organisation, (name, count) -> count == 1 ? null : count - 1);
  }
}
