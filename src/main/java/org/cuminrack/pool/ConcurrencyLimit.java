package org.cuminrack.pool;

/**
 * Adaptive limit on the concurrent requests of an upstream. It starts at the cold limit and grows
 * by one with each completion of normal latency while at least half of it is used, up to the warm
 * limit. It drops to the cold limit when latency jumps or a failure show that the upstream is cold
 * again.
 */
final class ConcurrencyLimit {
  private static final int JUMPS_BEFORE_RESET = 3;
  private static final double MIN_UTILISATION_TO_GROW = 0.5;
  private static final double OVERLOAD_BACKOFF_FACTOR = 0.5;

  private final int cold;
  private final int warm;
  private final JumpDetector firstTokenJumps = new JumpDetector(3, 150e6);
  private final JumpDetector tokenIntervalJumps = new JumpDetector(2.5, 10e6);
  private double limit;
  private int jumps;

  ConcurrencyLimit(int cold, int warm) {
    this.cold = Math.max(1, Math.min(cold, warm));
    this.warm = Math.max(1, warm);
    this.limit = this.cold;
  }

  int value() {
    return (int) limit;
  }

  double exactValue() {
    return limit;
  }

  int warmLimit() {
    return warm;
  }

  boolean isWarm() {
    return limit >= warm;
  }

  /** Restores the limit that a former owner had reached. */
  void restore(double reached) {
    limit = Math.max(cold, Math.min(warm, reached));
  }

  /**
   * Adapts the limit to a completed request.
   *
   * @param firstTokenNanos time from dispatch to the first token; 0 if unknown
   * @param tokenNanos mean time between tokens; 0 if unknown
   * @param requestsInFlight requests that were running, including this one
   */
  void completed(long firstTokenNanos, long tokenNanos, int requestsInFlight) {
    boolean slowStart = firstTokenJumps.isJump(firstTokenNanos);
    boolean slowTokens = tokenIntervalJumps.isJump(tokenNanos);
    if (slowStart || slowTokens) {
      countJump();
      return;
    }
    jumps = 0;
    if (requestsInFlight >= limit * MIN_UTILISATION_TO_GROW) {
      limit = Math.min(warm, limit + 1);
    }
  }

  /** Reduces the limit after the upstream rejected a request as overloaded. */
  void overloaded() {
    limit = Math.max(cold, limit * OVERLOAD_BACKOFF_FACTOR);
  }

  /** Resets the limit to the cold limit. */
  void reset() {
    limit = cold;
    jumps = 0;
  }

  private void countJump() {
    jumps++;
    if (jumps >= JUMPS_BEFORE_RESET) {
      reset();
    }
  }
}
