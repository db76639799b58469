package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cuminrack.time.Clock;

/**
 * The load of this gateway and of all others on each upstream. Thread-safe; no callback runs under
 * the lock.
 */
public final class LoadTable {
  /**
   * Time without a message after which another gateway's load expires; the gateway has then lost
   * its requests or is unreachable.
   */
  private static final Duration REMOTE_LOAD_TTL = Duration.ofSeconds(2);

  private final Clock clock;
  private final Map<String, UpstreamLoad> own = new HashMap<>();
  private final Map<String, RemoteLoads> remote = new HashMap<>();

  public LoadTable(Clock clock) {
    this.clock = clock;
  }

  /** Adds a change to this gateway's load on an upstream. */
  synchronized void add(String upstreamId, UpstreamLoad change) {
    UpstreamLoad sum = own.getOrDefault(upstreamId, UpstreamLoad.NONE).plus(change);
    if (sum.equals(UpstreamLoad.NONE)) {
      own.remove(upstreamId);
    } else {
      own.put(upstreamId, sum);
    }
  }

  /** Returns this gateway's load by upstream id. */
  public synchronized Map<String, UpstreamLoad> ownLoads() {
    return Map.copyOf(own);
  }

  /** Replaces the load of another gateway. */
  public synchronized void replaceRemote(String vm, Map<String, UpstreamLoad> loads) {
    remote.put(vm, new RemoteLoads(Map.copyOf(loads), clock.nanoTime()));
  }

  /** Returns the load of all gateways on an upstream. */
  synchronized UpstreamLoad total(String upstreamId) {
    long nowNanos = clock.nanoTime();
    remote
        .values()
        .removeIf(remoteLoads -> nowNanos - remoteLoads.receivedNanos > REMOTE_LOAD_TTL.toNanos());
    UpstreamLoad sum = own.getOrDefault(upstreamId, UpstreamLoad.NONE);
    for (RemoteLoads remoteLoads : remote.values()) {
      sum = sum.plus(remoteLoads.loads.getOrDefault(upstreamId, UpstreamLoad.NONE));
    }
    return sum;
  }

  private record RemoteLoads(Map<String, UpstreamLoad> loads, long receivedNanos) {}
}
