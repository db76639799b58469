package org.cuminrack.rollout;

/**
 * What the former versions answered to a route lately, as the measure for the new one. Holds about
 * the last {@link #WINDOW} outcomes, and keeps them while the former versions get no requests.
 */
final class RouteBaseline {
  private static final double WINDOW = 400;

  /** Outcomes from which on the baseline tells what is slow. */
  private static final double MIN_OUTCOMES = 20;

  /** The share of the former versions' answers that may be slower than the measure of slowness. */
  private static final double USUAL_SHARE = 0.9;

  /** A slow answer takes 1.25 to the power of this, twice, the time of the slowest usual ones. */
  private static final int SLOW_BUCKETS = 3;

  /** Outcomes and failures that count as seen before the first one. */
  private static final double PRIOR_OUTCOMES = 20;

  private static final double PRIOR_BAD = 0.4;
  private static final double MAX_BAD_SHARE = 0.6;

  private final double[] answered = new double[LatencyBuckets.COUNT];
  private double failed;
  private double outcomes;

  void add(RouteFigures added) {
    double kept = 1 - Math.min(1, added.ended() / WINDOW);
    failed = failed * kept + added.failed();
    outcomes = outcomes * kept + added.ended();
    for (int i = 0; i < answered.length; i++) {
      answered[i] = answered[i] * kept + added.answered(i);
    }
  }

  /** Returns whether there are enough outcomes to compare with. */
  boolean isSufficient() {
    return outcomes >= MIN_OUTCOMES;
  }

  /** Returns the first bucket that counts as slow; none if there are too few outcomes. */
  int slowFromBucket() {
    double total = outcomes - failed;
    if (total < MIN_OUTCOMES) {
      return LatencyBuckets.COUNT;
    }
    double sum = 0;
    int bucket = 0;
    while (bucket < answered.length - 1 && sum + answered[bucket] < USUAL_SHARE * total) {
      sum += answered[bucket];
      bucket++;
    }
    return Math.min(LatencyBuckets.COUNT, bucket + SLOW_BUCKETS + 1);
  }

  /**
   * Returns the share of failures and slow answers: an estimate with a prior of two percent, plus
   * one standard error, since few outcomes may show too few of them.
   */
  double badShare() {
    double bad = failed;
    for (int i = slowFromBucket(); i < answered.length; i++) {
      bad += answered[i];
    }
    double estimate = (bad + PRIOR_BAD) / (outcomes + PRIOR_OUTCOMES);
    double standardError = Math.sqrt(estimate * (1 - estimate) / (outcomes + PRIOR_OUTCOMES));
    return Math.min(MAX_BAD_SHARE, estimate + standardError);
  }
}
