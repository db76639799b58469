package org.cuminrack.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The gateways that have asked this control VM lately. Safe for use by many threads: one lock. */
public final class GatewayTable {
  /** A gateway asks again at once after each answer, which is held for half a second at most. */
  static final Duration LIFETIME = Duration.ofMillis(1500);

  private final Map<String, Seen> seen = new HashMap<>();

  /** Notes that a gateway lives; true if that is news. */
  public synchronized boolean note(GatewayRecord gateway, long nowNanos) {
    Seen before = seen.put(gateway.vm(), new Seen(gateway, nowNanos));
    return before == null || !before.gateway.equals(gateway);
  }

  /** Returns the gateways that live, ordered by name. */
  public synchronized List<GatewayRecord> live(long nowNanos) {
    seen.values().removeIf(each -> nowNanos - each.atNanos > LIFETIME.toNanos());
    return seen.values().stream()
        .map(each -> each.gateway)
        .sorted(Comparator.comparing(GatewayRecord::vm))
        .toList();
  }

  private record Seen(GatewayRecord gateway, long atNanos) {}
}
