package org.cuminrack.rollout;

/**
 * The times of a roll-out's stages, in milliseconds after the order. Most of the duration is spent
 * on small shares, since a version may turn bad late; the end leaves time for a change of leader.
 *
 * @param trialMillis end of the first share of {@link RolloutStage#TRIAL}, from which on it is
 *     smaller
 * @param growthMillis begin of {@link RolloutStage#GROWTH}
 * @param fullMillis begin of {@link RolloutStage#FULL}
 * @param doneMillis begin of {@link RolloutStage#DONE}
 * @param deadlineMillis the ordered duration
 */
record RolloutSchedule(
    long trialMillis, long growthMillis, long fullMillis, long doneMillis, long deadlineMillis) {
  /** Durations below this one get proportionally less time for each stage. */
  private static final double SHORT_MILLIS = 8_000;

  private static final double TRIAL_SHARE = 0.25;
  private static final long MIN_STAGE_MILLIS = 1_000;
  private static final double MIN_MARGIN_MILLIS = 1_200;
  private static final double MARGIN_SHARE = 0.06;
  private static final double MIN_DRAIN_MILLIS = 1_200;
  private static final double MAX_DRAIN_MILLIS = 5_000;
  private static final double DRAIN_SHARE = 0.15;
  private static final double MIN_GROWTH_MILLIS = 800;
  private static final double MAX_GROWTH_MILLIS = 2_000;
  private static final double GROWTH_SHARE = 0.1;

  static RolloutSchedule of(long durationMillis) {
    double scale = Math.min(1, durationMillis / SHORT_MILLIS);
    double margin = Math.max(MIN_MARGIN_MILLIS * scale, MARGIN_SHARE * durationMillis);
    double done = durationMillis - margin;
    double full =
        done - bounded(DRAIN_SHARE * durationMillis, MIN_DRAIN_MILLIS * scale, MAX_DRAIN_MILLIS);
    double growth =
        full - bounded(GROWTH_SHARE * durationMillis, MIN_GROWTH_MILLIS * scale, MAX_GROWTH_MILLIS);
    return new RolloutSchedule(
        (long) (TRIAL_SHARE * durationMillis),
        (long) growth,
        (long) full,
        (long) done,
        durationMillis);
  }

  /** Returns the time in FULL within which all gateways apply it and short requests end. */
  long minDrainMillis() {
    return Math.min(MIN_STAGE_MILLIS, deadlineMillis / 8);
  }

  /** Returns when FULL begins at the latest, also on little evidence. */
  long latestFullMillis() {
    return doneMillis - minDrainMillis();
  }

  private static double bounded(double value, double min, double max) {
    return Math.min(max, Math.max(min, value));
  }
}
