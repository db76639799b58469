package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;

/** How long a gateway that has just started keeps a request while it does not know its routes. */
final class RoutingWait {
  /**
   * From a gateway's start until control, started with it, has told it its routes (CAPACITY.md).
   */
  private static final Duration LONGEST = Duration.ofMillis(1600);

  /** Where the caller does not say how long it waits. */
  private static final Duration WITHOUT_DEADLINE = Duration.ofMillis(800);

  /** The caller can still go elsewhere with the other half of its time. */
  private static final int PARTS_OF_DEADLINE = 2;

  private RoutingWait() {}

  /** Returns how long a request with this deadline is kept. */
  static Duration longest(Optional<Duration> deadline) {
    Duration wanted =
        deadline.map(each -> each.dividedBy(PARTS_OF_DEADLINE)).orElse(WITHOUT_DEADLINE);
    return wanted.compareTo(LONGEST) < 0 ? wanted : LONGEST;
  }
}
