package org.cuminrack.control;

import java.time.Duration;

/**
 * How long an entry may work without hearing from control.
 *
 * @param lease how long a renewal lasts
 * @param driftMargin how far the clocks of two VMs may drift apart during a lease: an entry ends
 *     its lease earlier, control later, by this much
 * @param renewInterval how often an entry renews
 */
public record LeaseSettings(Duration lease, Duration driftMargin, Duration renewInterval) {
  private static final LeaseSettings STANDARD =
      new LeaseSettings(Duration.ofSeconds(2), Duration.ofMillis(100), Duration.ofMillis(500));

  /** Returns a lease of 2 s, renewed four times in that time. */
  public static LeaseSettings standard() {
    return STANDARD;
  }

  /** Returns how long an entry uses a lease, counted from the send of the renewal. */
  public Duration usableByEntry() {
    return lease.minus(driftMargin);
  }

  /** Returns after how long control may hold a lease for surely over, from its last renewal. */
  public Duration overForControl() {
    return lease.plus(driftMargin);
  }
}
