package org.cuminrack.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The gateways that recently called this control VM. Thread-safe. */
public final class GatewayTable {
  /**
   * How long after its last call a gateway counts as live. Gateways call again right after each
   * response, which a control VM delays by 500 ms at most.
   */
  static final Duration EXPIRY = Duration.ofMillis(1500);

  private final Map<String, Registration> registrations = new HashMap<>();

  /** Records a call from a gateway; returns whether the gateway is new or its record changed. */
  public synchronized boolean recordCall(GatewayRecord gateway, long nowNanos) {
    Registration before = registrations.put(gateway.vm(), new Registration(gateway, nowNanos));
    return before == null || !before.gateway.equals(gateway);
  }

  /** Returns the live gateways, ordered by VM name. */
  public synchronized List<GatewayRecord> live(long nowNanos) {
    registrations
        .values()
        .removeIf(registration -> nowNanos - registration.lastCallNanos > EXPIRY.toNanos());
    return registrations.values().stream()
        .map(registration -> registration.gateway)
        .sorted(Comparator.comparing(GatewayRecord::vm))
        .toList();
  }

  private record Registration(GatewayRecord gateway, long lastCallNanos) {}
}
