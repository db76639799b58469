package org.cuminrack.pool;

/**
 * Adaptive limit on the concurrent requests of an upstream. It starts at the cold limit and grows
 * by one with each completion of normal latency while at least half of it is used, up to the warm
 * limit. It is halved when the upstream rejects a request as overloaded, and drops to the cold
 * limit when several latency jumps in a row or a failure show that the upstream is cold again.
 */
final class ConcurrencyLimit {
  private static final int JUMPS_BEFORE_RESET = 3;
  private static final double MIN_UTILISATION_TO_GROW = 0.5;
  private static final double OVERLOAD_BACKOFF_FACTOR = 0.5;

  private final int coldLimit;
  private final int warmLimit;
  private final JumpDetector firstTokenJumps = new JumpDetector(3, 150e6);
  private final JumpDetector tokenIntervalJumps = new JumpDetector(2.5, 10e6);
  private double limit;
  private int consecutiveJumps;

  ConcurrencyLimit(int coldLimit, int warmLimit) {
    this.coldLimit = Math.max(1, Math.min(coldLimit, warmLimit));
    this.warmLimit = Math.max(1, warmLimit);
    this.limit = this.coldLimit;
  }

  int value() {
    return (int) limit;
  }

  double exactValue() {
    return limit;
  }

  int warmLimit() {
    return warmLimit;
  }

  boolean isWarm() {
    return limit >= warmLimit;
  }

  /** Restores the limit that a former owner had reached. */
  void restore(double reachedLimit) {
    limit = Math.max(coldLimit, Math.min(warmLimit, reachedLimit));
  }

  /**
   * Adapts the limit to a completed request.
   *
   * @param firstTokenNanos time from dispatch to the first token; 0 if unknown
   * @param tokenIntervalNanos mean time between tokens; 0 if unknown
   * @param requestsInFlight requests that were running, including this one
   */
  void completed(long firstTokenNanos, long tokenIntervalNanos, int requestsInFlight) {
    boolean slowFirstToken = firstTokenJumps.addSample(firstTokenNanos);
    boolean slowTokenInterval = tokenIntervalJumps.addSample(tokenIntervalNanos);
    if (slowFirstToken || slowTokenInterval) {
      countJump();
      return;
    }
    consecutiveJumps = 0;
    if (requestsInFlight >= limit * MIN_UTILISATION_TO_GROW) {
      limit = Math.min(warmLimit, limit + 1);
    }
  }

  /** Reduces the limit after the upstream rejected a request as overloaded. */
  void overloaded() {
    limit = Math.max(coldLimit, limit * OVERLOAD_BACKOFF_FACTOR);
  }

  /** Resets the limit to the cold limit. */
  void reset() {
    limit = coldLimit;
    consecutiveJumps = 0;
  }

  private void countJump() {
    consecutiveJumps++;
    if (consecutiveJumps >= JUMPS_BEFORE_RESET) {
      reset();
    }
  }
}
