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
  /** Time without an answer of a board after which the load that it told is not known any more. */
  private static final Duration REMOTE_LOAD_TTL = Duration.ofSeconds(2);

  private final Clock clock;
  private final Map<String, UpstreamLoad> own = new HashMap<>();
  private final Map<String, RemoteLoads> remote = new HashMap<>();
  private volatile ChangeListener listener = (upstreamId, change) -> {};

  public LoadTable(Clock clock) {
    this.clock = clock;
  }

  /** Receives the changes of this gateway's load, on the thread that made the change. */
  @FunctionalInterface
  public interface ChangeListener {

    /** Called after a change; must not block, and callers may hold locks. */
    void changed(String upstreamId, UpstreamLoad change);
  }

  /** Sets the listener of this gateway's load. */
  public void onOwnChange(ChangeListener newListener) {
    listener = newListener;
  }

  /** Adds a change to this gateway's load on an upstream. */
  public void add(String upstreamId, UpstreamLoad change) {
    synchronized (this) {
      UpstreamLoad sum = own.getOrDefault(upstreamId, UpstreamLoad.NONE).plus(change);
      if (sum.equals(UpstreamLoad.NONE)) {
        own.remove(upstreamId);
      } else {
        own.put(upstreamId, sum);
      }
    }
    listener.changed(upstreamId, change);
  }

  /** Returns this gateway's load by upstream id. */
  public synchronized Map<String, UpstreamLoad> ownLoads() {
    return Map.copyOf(own);
  }

  /**
   * Replaces the sum of the load of all other gateways on some upstreams.
   *
   * @param source names who told it, the pool of the upstreams for example
   */
  public synchronized void replaceRemote(String source, Map<String, UpstreamLoad> loads) {
    remote.put(source, new RemoteLoads(Map.copyOf(loads), clock.nanoTime()));
  }

  /** Records that the load which a source told last is unchanged. */
  public synchronized void confirmRemote(String source) {
    RemoteLoads known = remote.get(source);
    if (known != null) {
      remote.put(source, new RemoteLoads(known.loads, clock.nanoTime()));
    }
  }

  /** Forgets what a source told. */
  public synchronized void removeRemote(String source) {
    remote.remove(source);
  }

  /** Returns the load of all gateways on an upstream. */
  public synchronized UpstreamLoad total(String upstreamId) {
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
