package org.cuminrack.control;

import java.time.Duration;

/**
 * Durations of the lease under which an entry may work without contact with control.
 *
 * @param lease how long a lease lasts after a renewal
 * @param driftMargin the most that the clocks of two VMs drift apart during a lease: the entry ends
 *     its lease earlier by this margin, control later
 * @param renewInterval how often an entry renews its lease
 */
public record LeaseSettings(Duration lease, Duration driftMargin, Duration renewInterval) {
  private static final LeaseSettings STANDARD =
      new LeaseSettings(Duration.ofSeconds(2), Duration.ofMillis(100), Duration.ofMillis(500));

  /** Returns a lease of 2 s, renewed every 500 ms. */
  public static LeaseSettings standard() {
    return STANDARD;
  }

  /** Returns how long an entry may use a lease, counted from when it sent the renewal. */
  public Duration expiryAtEntry() {
    return lease.minus(driftMargin);
  }

  /** Returns how long after the last renewal control may treat a lease as expired at the entry. */
  public Duration expiryAtControl() {
    return lease.plus(driftMargin);
  }
}
