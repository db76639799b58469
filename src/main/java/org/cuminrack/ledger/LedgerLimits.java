package org.cuminrack.ledger;

import java.time.Duration;

/**
 * Limits of the ledger. All replicas must use the same limits.
 *
 * @param maxCalls the maximum number of stored calls; further claims are rejected until calls
 *     expire
 * @param maxBytes the maximum total size of keys and responses, including the space reserved for
 *     the response of each open claim, one that has not ended
 * @param maxResponseBytes the maximum size of the body of a stored response
 * @param retention how long a call is stored after it ended as done or unknown
 * @param notRunRetention how long a call is stored after it ended as not run
 */
public record LedgerLimits(
    int maxCalls,
    long maxBytes,
    int maxResponseBytes,
    Duration retention,
    Duration notRunRetention) {
  private static final LedgerLimits STANDARD =
      new LedgerLimits(100_000, 64L << 20, 16 << 10, Duration.ofHours(12), Duration.ofMinutes(1));

  /** Returns the limits used by all control VMs. */
  public static LedgerLimits standard() {
    return STANDARD;
  }
}
