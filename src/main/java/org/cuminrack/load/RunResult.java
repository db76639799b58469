package org.cuminrack.load;

import org.cuminrack.pool.PolicyKind;

/**
 * The result of one run: one policy at one load with one seed.
 *
 * @param loadPercent arrival rate in percent of the engines' capacity
 * @param seconds length of the measurement
 * @param preemptions number of preemptions during the measurement
 * @param crashes number of engine crashes over the whole run
 */
public record RunResult(
    PolicyKind policy,
    int loadPercent,
    long seed,
    double seconds,
    RunMetrics metrics,
    long preemptions,
    int crashes) {

  /** Returns the requests answered completely within the targets, per second. */
  public double goodputPerSecond() {
    return metrics.withinTargets() / seconds;
  }

  /** Returns the tokens of requests answered completely within the targets, per second. */
  public double goodputTokensPerSecond() {
    return metrics.withinTargetsTokens() / seconds;
  }

  /** Returns the requests answered completely, per second. */
  public double wholePerSecond() {
    return metrics.whole() / seconds;
  }
}
