package org.cuminrack.rollout;

/** Counts of answers by latency; each bucket's bound is 1.25 times the bound before. */
public final class LatencyBuckets {
  /** The number of buckets; the last one holds all latencies above 36 s. */
  public static final int COUNT = 48;

  private static final double RATIO = 1.25;

  private LatencyBuckets() {}

  /** Returns the bucket of a latency. */
  public static int indexOf(double latencyMillis) {
    if (latencyMillis <= 1) {
      return 0;
    }
    return (int) Math.min(COUNT - 1, Math.ceil(Math.log(latencyMillis) / Math.log(RATIO)));
  }
}
