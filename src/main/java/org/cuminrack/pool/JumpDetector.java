package org.cuminrack.pool;

/** Tells when a duration is far above what it used to be. */
final class JumpDetector {
  private static final int ENOUGH_SAMPLES = 8;
  private static final double WEIGHT_OF_SAMPLE = 0.1;
  private static final double WEIGHT_OF_JUMP = 0.02;

  private final double factor;
  private final double slackNanos;
  private double usualNanos;
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
        samples > ENOUGH_SAMPLES && nanos > usualNanos * factor && nanos > usualNanos + slackNanos;
    double weight = jump ? WEIGHT_OF_JUMP : WEIGHT_OF_SAMPLE;
    double learning = Math.max(weight, 1.0 / samples);
    usualNanos += (nanos - usualNanos) * (jump ? weight : learning);
    return jump;
  }
}
