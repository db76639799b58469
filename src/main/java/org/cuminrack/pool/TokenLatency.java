package org.cuminrack.pool;

/** How fast an upstream answers, as its last completions show. */
final class TokenLatency {
  private static final double SAMPLE_WEIGHT = 0.1;

  private double firstTokenNanos = 200e6;
  private double tokenNanos = 40e6;

  void completed(long firstNanos, long betweenNanos) {
    if (firstNanos > 0) {
      firstTokenNanos += (firstNanos - firstTokenNanos) * SAMPLE_WEIGHT;
    }
    if (betweenNanos > 0) {
      tokenNanos += (betweenNanos - tokenNanos) * SAMPLE_WEIGHT;
    }
  }

  /** Returns the tokens that a request has produced by now, as far as its age tells. */
  double producedTokens(long ageNanos) {
    return Math.max(0, (ageNanos - firstTokenNanos) / tokenNanos);
  }
}
