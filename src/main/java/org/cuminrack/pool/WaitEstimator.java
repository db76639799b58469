package org.cuminrack.pool;

/**
 * Predicts how long a request waits for a place: by Little's law a pool that holds N requests of
 * mean residence T gives N / T places back in a unit of time.
 */
final class WaitEstimator {
  private static final double SAMPLE_WEIGHT = 0.05;
  private static final int WARM_UP_SAMPLES = 20;

  private double residenceNanos = 1e9;
  private int samples;

  /** Learns how long a request held its place. */
  void finished(long heldNanos) {
    samples = Math.min(WARM_UP_SAMPLES, samples + 1);
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
    residenceNanos += (heldNanos - residenceNanos) * weight;
  }

  /**
   * Returns the predicted wait, in nanoseconds.
   *
   * @param position 1 for the next to be served
   * @param occupied requests that hold places
   */
  long waitNanos(int position, int occupied) {
    return (long) (position * residenceNanos / Math.max(1, occupied));
  }
}
