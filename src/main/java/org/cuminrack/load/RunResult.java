package org.cuminrack.load;

import org.cuminrack.pool.PolicyKind;

/**
 * One run of one policy with one seed.
 *
 * @param loadPercent arrivals as a share of the engines' capacity
 * @param seconds length of the measured time
 * @param preemptions sequences put back in the measured time
 * @param crashes engines that fell over
 */
public record RunResult(
    PolicyKind policy,
    int loadPercent,
    long seed,
    double seconds,
    RunMetrics metrics,
    long preemptions,
    int crashes) {

  /** Returns requests answered whole within the targets, a second. */
  public double goodputPerSecond() {
    return metrics.withinTargets() / seconds;
  }

  /** Returns the tokens of requests answered whole within the targets, a second. */
  public double goodputTokensPerSecond() {
    return metrics.withinTargetsTokens() / seconds;
  }

  /** Returns requests answered whole, a second. */
  public double wholePerSecond() {
    return metrics.whole() / seconds;
  }
}
