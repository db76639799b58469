package org.cuminrack.pool;

/** Detects durations far above their moving average. */
final class JumpDetector {
  private static final int MIN_SAMPLES = 8;
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final double JUMP_WEIGHT = 0.02;

  private final double factor;
  private final double slackNanos;
  private double averageNanos;
  private int samples;

  /**
   * @param factor minimum ratio of a jump to the average
   * @param slackNanos minimum difference between a jump and the average
   */
  JumpDetector(double factor, double slackNanos) {
    this.factor = factor;
    this.slackNanos = slackNanos;
  }

  /**
   * Adds a sample and returns whether it is a jump. Jumps enter the average with a smaller weight.
   */
  boolean addSample(long nanos) {
    if (nanos <= 0) {
      return false;
    }
    samples++;
    boolean isJump =
        samples > MIN_SAMPLES && nanos > averageNanos * factor && nanos > averageNanos + slackNanos;
    double weight = isJump ? JUMP_WEIGHT : SAMPLE_WEIGHT;
    double learningRate = Math.max(weight, 1.0 / samples);
    averageNanos += (nanos - averageNanos) * (isJump ? weight : learningRate);
    return isJump;
  }
}
