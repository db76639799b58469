package org.cuminrack.pool;

/** Moving averages of the latencies of an upstream: to the first token and between tokens. */
final class TokenLatency {
  private static final double SAMPLE_WEIGHT = 0.1;

  private double firstTokenNanos = 200e6;
  private double tokenIntervalNanos = 40e6;

  void completed(long newFirstTokenNanos, long newTokenIntervalNanos) {
    if (newFirstTokenNanos > 0) {
      firstTokenNanos += (newFirstTokenNanos - firstTokenNanos) * SAMPLE_WEIGHT;
    }
    if (newTokenIntervalNanos > 0) {
      tokenIntervalNanos += (newTokenIntervalNanos - tokenIntervalNanos) * SAMPLE_WEIGHT;
    }
  }

  /** Returns the estimated number of tokens that a request of this age has produced. */
  double producedTokens(long ageNanos) {
    return Math.max(0, (ageNanos - firstTokenNanos) / tokenIntervalNanos);
  }
}
