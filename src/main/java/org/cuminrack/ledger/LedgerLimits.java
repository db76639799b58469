package org.cuminrack.ledger;

import java.time.Duration;

/**
 * Bounds of the ledger. Every replica has to work by the same ones.
 *
 * @param maxCalls how many calls are remembered; further claims are refused until some run out
 * @param maxBytes bytes of keys and answers, with room set aside for the answer of each open claim
 * @param maxAnswerBytes the largest answer that is kept
 * @param retention how long a call is remembered after it ended
 * @param notRunRetention how long a claim that was given back is remembered
 */
public record LedgerLimits(
    int maxCalls, long maxBytes, int maxAnswerBytes, Duration retention, Duration notRunRetention) {
  private static final LedgerLimits STANDARD =
      new LedgerLimits(100_000, 64L << 20, 16 << 10, Duration.ofHours(12), Duration.ofMinutes(1));

  /** Returns the bounds that every control VM works by. */
  public static LedgerLimits standard() {
    return STANDARD;
  }
}
