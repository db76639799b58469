package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cuminrack.time.Clock;

/**
 * What this gateway and the others have running on upstreams. Safe for use by many threads: one
 * lock, and nothing is called under it.
 */
public final class LoadTable {
  /** A gateway that has said nothing for longer has lost its requests, or is cut off. */
  private static final Duration LIFETIME = Duration.ofSeconds(2);

  private final Clock clock;
  private final Map<String, UpstreamLoad> own = new HashMap<>();
  private final Map<String, Told> others = new HashMap<>();

  public LoadTable(Clock clock) {
    this.clock = clock;
  }

  /** Counts a request in or out. */
  synchronized void add(String upstreamId, UpstreamLoad change) {
    UpstreamLoad sum = own.getOrDefault(upstreamId, UpstreamLoad.NONE).plus(change);
    if (sum.equals(UpstreamLoad.NONE)) {
      own.remove(upstreamId);
    } else {
      own.put(upstreamId, sum);
    }
  }

  /** Returns what this gateway has running. */
  public synchronized Map<String, UpstreamLoad> own() {
    return Map.copyOf(own);
  }

  /** Takes what another gateway has running, in place of what it said before. */
  public synchronized void told(String vm, Map<String, UpstreamLoad> loads) {
    others.put(vm, new Told(Map.copyOf(loads), clock.nanoTime()));
  }

  /** Returns what all gateways have running on an upstream. */
  synchronized UpstreamLoad total(String upstreamId) {
    long nowNanos = clock.nanoTime();
    others.values().removeIf(each -> nowNanos - each.atNanos > LIFETIME.toNanos());
    UpstreamLoad sum = own.getOrDefault(upstreamId, UpstreamLoad.NONE);
    for (Told each : others.values()) {
      sum = sum.plus(each.loads.getOrDefault(upstreamId, UpstreamLoad.NONE));
    }
    return sum;
  }

  private record Told(Map<String, UpstreamLoad> loads, long atNanos) {}
}
