package org.cuminrack.pool;

/**
 * Predicts how long a request waits for a place. By Little's law, a pool with N requests of mean
 * residence time T frees N / T places per unit of time.
 */
final class WaitEstimator {
  private static final double SAMPLE_WEIGHT = 0.05;
  private static final int WARM_UP_SAMPLES = 20;

  private double residenceNanos = 1e9;
  private int samples;

  /** Records how long a request occupied its place. */
  void finished(long occupiedNanos) {
    samples = Math.min(WARM_UP_SAMPLES, samples + 1);
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
    residenceNanos += (occupiedNanos - residenceNanos) * weight;
  }

  /**
   * Returns the predicted wait, in nanoseconds.
   *
   * @param position queue position; 1 is served next
   * @param requestsInFlight number of running requests
   */
  long waitNanos(int position, int requestsInFlight) {
    return (long) (position * residenceNanos / Math.max(1, requestsInFlight));
  }
}
