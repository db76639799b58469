package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/** Limits how long a request waits at a gateway that has just started and has no routes yet. */
final class RoutingWait {
  /**
   * Covers the time until a gateway receives its routes when the control VMs start at the same time
   * (CAPACITY.md).
   */
  private static final Duration MAX_WAIT = Duration.ofMillis(1600);

  /** Limit for a request without a timeout. */
  private static final Duration MAX_WAIT_WITHOUT_TIMEOUT = Duration.ofMillis(800);

  /** Leaves the caller half of its time to try another gateway. */
  private static final int TIMEOUT_DIVISOR = 2;

  private RoutingWait() {}

  /** Returns the maximum time that a request with this timeout waits for routes. */
  static Duration maxWait(Optional<Duration> timeout) {
    Duration limit =
        timeout
            .map(callerTimeout -> callerTimeout.dividedBy(TIMEOUT_DIVISOR))
            .orElse(MAX_WAIT_WITHOUT_TIMEOUT);
    return limit.compareTo(MAX_WAIT) < 0 ? limit : MAX_WAIT;
  }
}
