package org.cuminrack.pool;

import java.util.Arrays;

/**
 * An empirical distribution of output lengths, in tokens, over a fixed number of buckets. Old
 * samples decay. A weak heavy-tailed prior covers lengths without samples.
 */
final class LengthHistogram {
  static final int BUCKETS = 72;
  private static final int BUCKETS_PER_DOUBLING = 4;
  private static final int MAX_LENGTH_TOKENS = (1 << (BUCKETS / BUCKETS_PER_DOUBLING)) - 1;

  /**
   * Shifts the two highest bits of a double's mantissa to the lowest position; they select one of
   * the buckets between two powers of two.
   */
  private static final int MANTISSA_SHIFT = 50;

  private static final double MAX_SAMPLES = 1024;
  private static final double PRIOR_WEIGHT = 1;
  private static final double PRIOR_MEDIAN_TOKENS = 256;
  private static final double[] LOWER_BOUNDS = lowerBounds();
  private static final double[] PRIOR = prior();

  private final double[] counts = new double[BUCKETS];
  private final double[] countsAtOrAbove = new double[BUCKETS + 1];
  private double sampleCount;
  private boolean needsAccumulation = true;

  /** Adds the length of a completed output. */
  void add(int lengthTokens) {
    counts[bucketOf(lengthTokens)]++;
    sampleCount++;
    if (sampleCount > MAX_SAMPLES) {
      decay();
    }
    needsAccumulation = true;
  }

  double sampleCount() {
    return sampleCount;
  }

  double[] counts() {
    return counts.clone();
  }

  /** Adds another histogram's samples to this one. */
  void merge(double[] otherCounts) {
    for (int i = 0; i < Math.min(BUCKETS, otherCounts.length); i++) {
      counts[i] += otherCounts[i];
      sampleCount += otherCounts[i];
    }
    while (sampleCount > MAX_SAMPLES) {
      decay();
    }
    needsAccumulation = true;
  }

  /** Returns the probability that an output has at least this many tokens. */
  double survival(double lengthTokens) {
    if (needsAccumulation) {
      accumulate();
    }
    if (lengthTokens <= 1) {
      return 1;
    }
    if (lengthTokens >= MAX_LENGTH_TOKENS) {
      return 0;
    }
    int bucket = bucketOf(lengthTokens);
    double countAbove = countsAtOrAbove[bucket + 1];
    double countInside = countsAtOrAbove[bucket] - countAbove;
    double from = LOWER_BOUNDS[bucket];
    double fraction = (lengthTokens - from) / (LOWER_BOUNDS[bucket + 1] - from);
    return (countAbove + countInside * (1 - fraction)) / countsAtOrAbove[0];
  }

  /** Returns the mean length, with each length capped at {@code capTokens}. */
  double meanUpTo(double capTokens) {
    double sum = 1;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      double from = LOWER_BOUNDS[bucket];
      if (from >= capTokens) {
        return sum;
      }
      double to = Math.min(capTokens, LOWER_BOUNDS[bucket + 1]);
      sum += (to - from) * (survival(from) + survival(to)) / 2;
    }
    return sum;
  }

  private void accumulate() {
    countsAtOrAbove[BUCKETS] = 0;
    for (int i = BUCKETS - 1; i >= 0; i--) {
      countsAtOrAbove[i] = countsAtOrAbove[i + 1] + counts[i] + PRIOR[i];
    }
    needsAccumulation = false;
  }

  private void decay() {
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] /= 2;
    }
    sampleCount = Arrays.stream(counts).sum();
  }

  private static double[] prior() {
    double[] prior = new double[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      double from = logLogisticSurvival(LOWER_BOUNDS[i]);
      double to = logLogisticSurvival(LOWER_BOUNDS[i + 1]);
      prior[i] = PRIOR_WEIGHT * (from - to);
    }
    return prior;
  }

  private static double logLogisticSurvival(double lengthTokens) {
    double ratio = lengthTokens / PRIOR_MEDIAN_TOKENS;
    return 1 / (1 + ratio * ratio);
  }

  private static int bucketOf(double lengthTokens) {
    double bounded = Math.max(1, Math.min(MAX_LENGTH_TOKENS, lengthTokens));
    int exponent = Math.getExponent(bounded);
    long shiftedBits = Double.doubleToRawLongBits(bounded) >>> MANTISSA_SHIFT;
    return exponent * BUCKETS_PER_DOUBLING + (int) (shiftedBits & (BUCKETS_PER_DOUBLING - 1));
  }

  private static double[] lowerBounds() {
    double[] bounds = new double[BUCKETS + 1];
    for (int bucket = 0; bucket <= BUCKETS; bucket++) {
      double powerOfTwo = 1L << (bucket / BUCKETS_PER_DOUBLING);
      bounds[bucket] =
          powerOfTwo * (1 + (double) (bucket % BUCKETS_PER_DOUBLING) / BUCKETS_PER_DOUBLING);
    }
    return bounds;
  }
}
