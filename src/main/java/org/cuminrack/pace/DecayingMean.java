package org.cuminrack.pace;

import java.time.Duration;

/**
 * A mean of samples whose weight halves with each half-life. Starts with a prior of the value 0, so
 * that few or old samples count little. Not thread-safe.
 */
final class DecayingMean {
  private final Duration halfLife;
  private double weight;
  private double sum;
  private long updatedNanos;

  DecayingMean(Duration halfLife) {
    this.halfLife = halfLife;
  }

  void add(double value, long nowNanos) {
    double kept = kept(nowNanos);
    weight = weight * kept + 1;
    sum = sum * kept + value;
    updatedNanos = nowNanos;
  }

  /** Returns the weight of the samples at a time; a new sample has the weight 1. */
  double weight(long nowNanos) {
    return weight * kept(nowNanos);
  }

  /** Returns the mean of the samples and of a prior of the value 0 with this weight. */
  double mean(double priorWeight, long nowNanos) {
    double kept = kept(nowNanos);
    double total = weight * kept + priorWeight;
    return total == 0 ? 0 : sum * kept / total;
  }

  /** Returns the time since the last sample; the longest one if there is none. */
  long ageNanos(long nowNanos) {
    return weight == 0 ? Long.MAX_VALUE : Math.max(0, nowNanos - updatedNanos);
  }

  private double kept(long nowNanos) {
    double age = Math.max(0, nowNanos - updatedNanos);
    return Math.pow(0.5, age / halfLife.toNanos());
  }
}
