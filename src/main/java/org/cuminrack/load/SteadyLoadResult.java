package org.cuminrack.load;

import org.cuminrack.pool.PolicyKind;

/**
 * The result of one run at a steady load: one policy at one load with one seed.
 *
 * @param loadPercent arrival rate in percent of the engines' capacity
 * @param measurementSeconds duration of the measurement in seconds
 * @param preemptions number of preemptions during the measurement
 * @param crashes number of engine crashes over the whole run
 */
public record SteadyLoadResult(
    PolicyKind policy,
    int loadPercent,
    long seed,
    double measurementSeconds,
    RequestMetrics metrics,
    long preemptions,
    int crashes) {

  /** Returns how many requests per second were answered completely and within the targets. */
  public double goodputPerSecond() {
    return metrics.withinTargets() / measurementSeconds;
  }

  /** Returns how many tokens per second the requests within the targets received. */
  public double goodputTokensPerSecond() {
    return metrics.withinTargetsTokens() / measurementSeconds;
  }

  /** Returns how many requests per second were answered completely. */
  public double completedPerSecond() {
    return metrics.completed() / measurementSeconds;
  }
}
