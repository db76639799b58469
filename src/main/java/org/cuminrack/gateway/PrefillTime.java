package org.cuminrack.gateway;

import java.time.Duration;
import java.util.List;

/**
 * The expected time until an engine has prefilled a prompt, and which engines are quick enough. An
 * engine prefills prompts one after the other, so a prompt waits for all those ahead of it.
 */
final class PrefillTime {
  /** Prefill of an engine under load: chunks of 112 tokens in steps of 16 ms. */
  private static final double TOKENS_PER_MILLI = 7;

  /**
   * Share of the shortest target latency for which prompts may be pending ahead of another one; the
   * rest is for its own prefill.
   */
  private static final double MAX_AHEAD_SHARE_OF_TARGET = 2.0 / 3;

  private PrefillTime() {}

  /** Returns the tokens that an engine of the usual pace prefills within a time. */
  static double tokensWithin(double millis) {
    return millis * TOKENS_PER_MILLI;
  }

  /** Compares the paces of engines by the prefill of a prompt. */
  static CandidatePaces paces(List<Candidate> candidates, PrefillWork work) {
    return CandidatePaces.of(
        candidates,
        work.promptTokens() / TOKENS_PER_MILLI,
        (double) work.targetLatency().toMillis());
  }

  /** Returns the expected time to the first output of a generation on an engine. */
  static Duration toFirstOutput(Candidate candidate, CandidatePaces paces, PrefillWork work) {
    return Duration.ofMillis(Math.round(firstOutputMillis(candidate, paces, work)));
  }

  private static double firstOutputMillis(
      Candidate candidate, CandidatePaces paces, PrefillWork work) {
    return aheadMillis(candidate, paces)
        + work.promptTokens() / TOKENS_PER_MILLI * paces.slowdown(candidate);
  }

  private static double aheadMillis(Candidate candidate, CandidatePaces paces) {
    return candidate.load().pendingPrefillTokens() / TOKENS_PER_MILLI * paces.slowdown(candidate);
  }

  /** Returns whether the prompts ahead leave an engine too little time for further ones. */
  static boolean isFull(Candidate candidate, CandidatePaces paces, PrefillWork work) {
    return aheadMillis(candidate, paces) >= maxAheadMillis(work);
  }

  /** Returns whether a generation would miss its target on an engine. */
  static boolean missesTarget(Candidate candidate, CandidatePaces paces, PrefillWork work) {
    return firstOutputMillis(candidate, paces, work) > work.targetLatency().toMillis();
  }

  /** Returns whether an engine of the usual pace with this load may get another prompt. */
  static boolean mayPrefillMore(UpstreamLoad load, Duration shortestTarget) {
    return load.pendingPrefillTokens() / TOKENS_PER_MILLI < maxAheadMillis(shortestTarget);
  }

  private static double maxAheadMillis(PrefillWork work) {
    return maxAheadMillis(work.shortestTarget());
  }

  private static double maxAheadMillis(Duration shortestTarget) {
    return MAX_AHEAD_SHARE_OF_TARGET * shortestTarget.toMillis();
  }
}
