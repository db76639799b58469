package org.cuminrack.control;

import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * The clock for timestamps in a leader's commands: the replicated time at the creation of this
 * clock, after the leader's election, plus the time elapsed since on its monotonic clock. A wrong
 * wall clock therefore can't expire state early, and time without a leader does not count.
 */
final class LeaderClock {
  private final Clock clock;
  private final long startMillis;
  private final long startNanos;

  LeaderClock(Clock clock, long startMillis) {
    this.clock = clock;
    this.startMillis = startMillis;
    this.startNanos = clock.nanoTime();
  }

  long nowMillis() {
    return startMillis + Duration.ofNanos(clock.nanoTime() - startNanos).toMillis();
  }
}
