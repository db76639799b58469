package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.UpstreamRecord;

/**
 * Limits the rate of requests to each cold upstream, that is, one that is still warming up. Each
 * gateway paces its requests at an equal share of the limit, so that all gateways together stay
 * within it without coordination. Not thread-safe.
 */
final class WarmUpRateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Time after which an unused pacer is removed; the pacer of an upstream that left while cold
   * would otherwise stay forever.
   */
  private static final long UNUSED_PACER_TTL_NANOS = Duration.ofMinutes(1).toNanos();

  private final RandomGenerator random;
  private final Map<String, Pacer> pacers = new HashMap<>();

  WarmUpRateLimiter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether an upstream may get a request now. Creates the pacer of a cold upstream on the
   * first call and removes it once the upstream is warm.
   *
   * @param requestsPerSecond requests per second that one cold upstream accepts from all gateways;
   *     0 for no limit
   * @param gatewayCount the number of live gateways
   */
  boolean allows(
      UpstreamRecord upstream, double requestsPerSecond, int gatewayCount, long nowNanos) {
    if (requestsPerSecond <= 0 || !upstream.isCold(nowNanos)) {
      pacers.remove(upstream.id());
      return true;
    }
    return pacer(upstream, requestsPerSecond, gatewayCount, nowNanos).nextNanos - nowNanos <= 0;
  }

  /** Records that a request is sent after {@link #allows} returned true. */
  void recordRequest(UpstreamRecord upstream, long nowNanos) {
    Pacer pacer = pacers.get(upstream.id());
    if (pacer != null) {
      pacer.nextNanos = nowNanos + pacer.intervalNanos;
    }
  }

  private Pacer pacer(
      UpstreamRecord upstream, double requestsPerSecond, int gatewayCount, long nowNanos) {
    long intervalNanos = (long) (NANOS_PER_SECOND * Math.max(1, gatewayCount) / requestsPerSecond);
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
