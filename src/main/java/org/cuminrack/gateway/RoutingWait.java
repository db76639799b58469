package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/** Limits how long a gateway that has just started holds a request while it has no routes. */
final class RoutingWait {
  /**
   * Covers the time until a gateway receives its routes when control starts at the same time
   * (CAPACITY.md).
   */
  private static final Duration MAX_WAIT = Duration.ofMillis(1600);

  /** Limit for a caller that states no deadline. */
  private static final Duration WAIT_WITHOUT_DEADLINE = Duration.ofMillis(800);

  /** Leaves the caller half of its time to try another gateway. */
  private static final int DEADLINE_DIVISOR = 2;

  private RoutingWait() {}

  /** Returns how long a request with this deadline is held at most. */
  static Duration maxWait(Optional<Duration> deadline) {
    Duration wanted =
        deadline.map(each -> each.dividedBy(DEADLINE_DIVISOR)).orElse(WAIT_WITHOUT_DEADLINE);
    return wanted.compareTo(MAX_WAIT) < 0 ? wanted : MAX_WAIT;
  }
}
