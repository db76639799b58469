package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * Detects from a periodic check that comes late that this process did not run for a while, for
 * example because its VM was frozen. What it has received meanwhile, it has not read yet. Not
 * thread-safe.
 */
final class StallDetector {
  /** Multiple of the interval after which a check is late. */
  private static final int LATE_INTERVALS = 4;

  private final Clock clock;
  private final Duration interval;
  private long lastCheckNanos;

  /**
   * Creates a detector whose first check is due after one interval.
   *
   * @param interval the interval of the checks
   */
  StallDetector(Clock clock, Duration interval) {
    this.clock = clock;
    this.interval = interval;
    this.lastCheckNanos = clock.nanoTime();
  }

  /** Records a check; returns true if it comes late. */
  boolean recordCheck() {
    long nowNanos = clock.nanoTime();
    Duration sinceLastCheck = Duration.ofNanos(nowNanos - lastCheckNanos);
    lastCheckNanos = nowNanos;
    return sinceLastCheck.compareTo(interval.multipliedBy(LATE_INTERVALS)) > 0;
  }
}
