package org.cuminrack.fairshare;

import java.util.OptionalLong;

/**
 * Predicts how long it takes until capacity is released. By Little's law, capacity in use of which
 * each unit is held for a mean time T is released at a rate of (units in use) / T. Thread-safe.
 */
final class ReleaseRate {
  /** Weight that the sums of earlier releases keep at each further one. */
  private static final double DECAY = 0.95;

  private static final int MIN_RELEASES = 5;

  private double units;
  private double unitNanos;
  private int releases;

  /** Records that capacity was released after it had been held for some time. */
  synchronized void recordRelease(long releasedUnits, long heldNanos) {
    releases = Math.min(MIN_RELEASES, releases + 1);
    units = units * DECAY + releasedUnits;
    unitNanos = unitNanos * DECAY + (double) releasedUnits * heldNanos;
  }

  /**
   * Returns the predicted time until this much capacity is released, in nanoseconds; empty if too
   * few releases were observed or nothing is in use.
   */
  synchronized OptionalLong nanosUntilReleased(long neededUnits, long unitsInUse) {
    if (releases < MIN_RELEASES || unitsInUse <= 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of((long) (unitNanos / units * neededUnits / unitsInUse));
  }
}
