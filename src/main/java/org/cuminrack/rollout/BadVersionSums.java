package org.cuminrack.rollout;

/**
 * A sequential test of whether the new version's answers are bad more often than the former ones'.
 * It weighs the hypothesis that their share of bad answers is the same against the one that it is
 * higher by {@link #MIN_DIFFERENCE} or thrice as high, by the logarithm of the likelihood ratio.
 *
 * <p>The test for a bad version is Page's: the sum never falls below 0, so that earlier good
 * answers don't hide a version that turns bad late. The test for a good one is Wald's: the sum of
 * all answers.
 */
final class BadVersionSums {
  private static final double MIN_DIFFERENCE = 0.15;
  private static final double MIN_RATIO = 3;
  private static final double MAX_BAD_SHARE = 0.95;

  /** The bound of the sum for a bad version: a run of good answers exceeds it in e^-8 of cases. */
  private static final double BAD_BOUND = 8;

  /** A sum that isn't proof, but above which a version isn't trusted either. */
  private static final double SUSPECT_BOUND = 5;

  /** The bound of the sum for a good version: a bad one falls below it in 1 of 100 cases. */
  private static final double GOOD_BOUND = Math.log(0.01);

  private double sinceBest;
  private double sum;
  private int outcomes;
  private int bad;

  /**
   * Adds outcomes.
   *
   * @param usualBadShare the former versions' share of bad answers at the same time
   */
  void add(int addedBad, int addedOutcomes, double usualBadShare) {
    double badShare =
        Math.min(
            MAX_BAD_SHARE, Math.max(usualBadShare * MIN_RATIO, usualBadShare + MIN_DIFFERENCE));
    double change =
        addedBad * Math.log(badShare / usualBadShare)
            + (addedOutcomes - addedBad) * Math.log((1 - badShare) / (1 - usualBadShare));
    sinceBest = Math.max(0, sinceBest + change);
    sum += change;
    outcomes += addedOutcomes;
    bad += addedBad;
  }

  boolean isBad() {
    return sinceBest >= BAD_BOUND;
  }

  boolean isSuspect() {
    return sinceBest >= SUSPECT_BOUND;
  }

  boolean isGood() {
    return sum <= GOOD_BOUND && !isSuspect();
  }

  int outcomes() {
    return outcomes;
  }

  int bad() {
    return bad;
  }
}
