package org.cuminrack.pool;

/** Moving averages of the latencies of an upstream: to the first token and between tokens. */
final class TokenLatency {
  private static final double SAMPLE_WEIGHT = 0.1;

  private double firstTokenNanos = 200e6;
  private double tokenNanos = 40e6;

  void completed(long timeToFirstTokenNanos, long betweenTokensNanos) {
    if (timeToFirstTokenNanos > 0) {
      firstTokenNanos += (timeToFirstTokenNanos - firstTokenNanos) * SAMPLE_WEIGHT;
    }
    if (betweenTokensNanos > 0) {
      tokenNanos += (betweenTokensNanos - tokenNanos) * SAMPLE_WEIGHT;
    }
  }

  /** Returns the estimated number of tokens that a request of this age has produced. */
  double producedTokens(long ageNanos) {
    return Math.max(0, (ageNanos - firstTokenNanos) / tokenNanos);
  }
}
