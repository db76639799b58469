package org.cuminrack.control;

import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * The time that a leader puts into its commands: the state's time when it began to lead, and what
 * has passed since on its monotonic clock. A wall clock set wrong can't drop anything early; time
 * without a leader does not count.
 */
final class StateTime {
  private final Clock clock;
  private final long startMillis;
  private final long startNanos;

  StateTime(Clock clock, long startMillis) {
    this.clock = clock;
    this.startMillis = startMillis;
    this.startNanos = clock.nanoTime();
  }

  long nowMillis() {
    return startMillis + Duration.ofNanos(clock.nanoTime() - startNanos).toMillis();
  }
}
