package org.cuminrack.pool;

/**
 * How many requests an upstream may have at one time. It starts at the cold limit, grows by one
 * with each healthy completion while it is used, up to the warm limit, and goes back to the cold
 * limit when the upstream shows that it is cold again.
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

  double reached() {
    return limit;
  }

  int warmLimit() {
    return warm;
  }

  boolean isWarm() {
    return limit >= warm;
  }

  /** Continues at a limit that a former owner had reached. */
  void restore(double reached) {
    limit = Math.max(cold, Math.min(warm, reached));
  }

  /**
   * Learns from a request that ran to its end.
   *
   * @param firstTokenNanos from dispatch to the first token; 0 where unknown
   * @param tokenNanos mean time between tokens; 0 where unknown
   * @param occupied requests that ran at the time, this one too
   */
  void completed(long firstTokenNanos, long tokenNanos, int occupied) {
    boolean slowStart = firstTokenJumps.isJump(firstTokenNanos);
    boolean slowTokens = tokenIntervalJumps.isJump(tokenNanos);
    if (slowStart || slowTokens) {
      countJump();
      return;
    }
    jumps = 0;
    if (occupied >= limit * MIN_UTILISATION_TO_GROW) {
      limit = Math.min(warm, limit + 1);
    }
  }

  /** Learns that the upstream said it has no room. */
  void overloaded() {
    limit = Math.max(cold, limit * OVERLOAD_BACKOFF_FACTOR);
  }

  /** Treats the upstream as just started. */
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
