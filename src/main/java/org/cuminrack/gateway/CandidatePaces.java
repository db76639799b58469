package org.cuminrack.gateway;

import java.util.List;

/**
 * How the paces of the candidates of one choice count: not at all, unless they differ by a time
 * that callers notice.
 */
record CandidatePaces(boolean areCounted) {
  /** A choice in which all candidates count as equally fast. */
  static final CandidatePaces EQUAL = new CandidatePaces(false);

  /** Share of the target latency that callers don't notice. */
  static final double UNNOTICED_SHARE_OF_TARGET = 0.1;

  /** Weight of samples below which the pace of an upstream is not known. */
  private static final double MIN_SAMPLES = 3;

  /**
   * Compares the paces of candidates.
   *
   * @param usualMillis the usual duration of the work
   * @param targetMillis its target
   */
  static CandidatePaces of(List<Candidate> candidates, double usualMillis, double targetMillis) {
    double slowest = 1;
    double fastest = 1;
    for (Candidate candidate : candidates) {
      if (candidate.pace().samples() >= MIN_SAMPLES) {
        slowest = Math.max(slowest, candidate.pace().slowdown());
        fastest = Math.min(fastest, candidate.pace().slowdown());
      }
    }
    double differenceMillis = (slowest - fastest) * usualMillis;
    return new CandidatePaces(differenceMillis > UNNOTICED_SHARE_OF_TARGET * targetMillis);
  }

  /** Returns the expected duration of work on a candidate as a multiple of the usual one. */
  double slowdown(Candidate candidate) {
    if (!areCounted || candidate.pace().samples() < MIN_SAMPLES) {
      return 1;
    }
    return candidate.pace().slowdown();
  }
}
