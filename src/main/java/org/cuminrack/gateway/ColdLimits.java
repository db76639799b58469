package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.UpstreamRecord;

/**
 * Limits this gateway's request rate to cold upstreams. Each gateway paces its requests at an equal
 * share of the limit, so that all gateways together stay within it without coordination. Not
 * thread-safe.
 */
final class ColdLimits {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Time after which an unused pacer is removed; the pacer of an upstream that left while cold
   * would otherwise stay forever.
   */
  private static final long UNUSED_PACER_TTL_NANOS = Duration.ofMinutes(1).toNanos();

  private final RandomGenerator random;
  private final Map<String, Pacer> pacers = new HashMap<>();

  ColdLimits(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether an upstream may get a request now.
   *
   * @param requestsPerSecond requests per second that one cold upstream accepts from all gateways;
   *     0 for no limit
   * @param gateways the number of live gateways
   */
  boolean allows(UpstreamRecord upstream, double requestsPerSecond, int gateways, long nowNanos) {
    if (requestsPerSecond <= 0 || !upstream.isCold(nowNanos)) {
      pacers.remove(upstream.id());
      return true;
    }
    return pacer(upstream, requestsPerSecond, gateways, nowNanos).nextNanos - nowNanos <= 0;
  }

  /** Records a request that {@link #allows} has allowed. */
  void recordRequest(UpstreamRecord upstream, long nowNanos) {
    Pacer pacer = pacers.get(upstream.id());
    if (pacer != null) {
      pacer.nextNanos = nowNanos + pacer.intervalNanos;
    }
  }

  private Pacer pacer(
      UpstreamRecord upstream, double requestsPerSecond, int gateways, long nowNanos) {
    long intervalNanos = (long) (NANOS_PER_SECOND * Math.max(1, gateways) / requestsPerSecond);
    Pacer pacer = pacers.get(upstream.id());
    if (pacer == null) {
      pacers.values().removeIf(other -> nowNanos - other.nextNanos > UNUSED_PACER_TTL_NANOS);
      pacer = Pacer.withRandomStart(random, intervalNanos, nowNanos);
      pacers.put(upstream.id(), pacer);
    }
    pacer.intervalNanos = intervalNanos;
    return pacer;
  }

  private static final class Pacer {
    private long intervalNanos;
    private long nextNanos;

    /**
     * Starts at a random point of the interval, because all gateways learn of a cold upstream at
     * the same time and would send their first requests at once.
     */
    static Pacer withRandomStart(RandomGenerator random, long intervalNanos, long nowNanos) {
      Pacer pacer = new Pacer();
      pacer.nextNanos = nowNanos + (long) (random.nextDouble() * intervalNanos);
      return pacer;
    }
  }
}
