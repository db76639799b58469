package org.cuminrack.standin;

import java.time.Duration;

/**
 * The delay and loss of an upstream's reports.
 *
 * @param load age of the load in a report
 * @param cacheEvents age of a batch of cache events when it is sent
 * @param cacheLossPercent share of cache event batches that are never sent, in percent
 * @param seed seed for choosing the lost batches
 */
public record ReportLag(Duration load, Duration cacheEvents, int cacheLossPercent, long seed) {

  /** Returns 300 ms for load, 1 s for cache events, and a loss of 5% of the batches. */
  public static ReportLag standard(long seed) {
    return new ReportLag(Duration.ofMillis(300), Duration.ofSeconds(1), 5, seed);
  }

  /** Returns no delay and no loss. */
  public static ReportLag none() {
    return new ReportLag(Duration.ZERO, Duration.ZERO, 0, 0);
  }
}
