package org.cuminrack.pool;

/** Tells when a duration is far above what it used to be. */
final class JumpDetector {
  private static final int MIN_SAMPLES = 8;
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final double JUMP_WEIGHT = 0.02;

  private final double factor;
  private final double slackNanos;
  private double averageNanos;
  private int samples;

  /**
   * @param factor a jump is longer than so many times the usual
   * @param slackNanos and by so much longer
   */
  JumpDetector(double factor, double slackNanos) {
    this.factor = factor;
    this.slackNanos = slackNanos;
  }

  /** Takes a sample in; the usual follows jumps too, but slowly. */
  boolean isJump(long nanos) {
    if (nanos <= 0) {
      return false;
    }
    samples++;
    boolean jump =
        samples > MIN_SAMPLES && nanos > averageNanos * factor && nanos > averageNanos + slackNanos;
    double weight = jump ? JUMP_WEIGHT : SAMPLE_WEIGHT;
    double learning = Math.max(weight, 1.0 / samples);
    averageNanos += (nanos - averageNanos) * (jump ? weight : learning);
    return jump;
  }
}
