package org.cuminrack.standin;

import java.time.Duration;

/**
 * How late and how gappy an upstream's reports are.
 *
 * @param load age of the load in a report
 * @param cacheEvents age of a batch of cache events when it is sent
 * @param cacheLossPercent batches of cache events that are never sent
 * @param seed chooses the lost batches
 */
public record ReportLag(Duration load, Duration cacheEvents, int cacheLossPercent, long seed) {

  /** Reports 300 ms late, cache events a second late, one batch in twenty lost. */
  public static ReportLag standard(long seed) {
    return new ReportLag(Duration.ofMillis(300), Duration.ofSeconds(1), 5, seed);
  }

  /** Reports without a lag or gaps. */
  public static ReportLag none() {
    return new ReportLag(Duration.ZERO, Duration.ZERO, 0, 0);
  }
}
