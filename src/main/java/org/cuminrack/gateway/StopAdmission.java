package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * Admission of requests during a gateway's planned stop: admits only those whose deadline is over
 * before the gateway stops, because nothing else bounds the time that an upstream takes. The others
 * are refused at once, so that they go to another gateway instead of being cut. Thread-safe.
 */
final class StopAdmission {
  /** Short, because another gateway can serve the request. */
  static final Duration RETRY_AFTER = Duration.ofMillis(50);

  private final Clock clock;
  private volatile Phase phase = Phase.SERVING;
  private volatile long endNanos;

  private enum Phase {
    SERVING,
    STOPPING,
    ENDED
  }

  StopAdmission(Clock clock) {
    this.clock = clock;
  }

  /** Begins the stop, which ends after the stop timeout at the latest. */
  void begin(Duration stopTimeout) {
    endNanos = clock.nanoTime() + stopTimeout.toNanos();
    phase = Phase.STOPPING;
  }

  /** Ends the stop: nothing is admitted any more. */
  void end() {
    phase = Phase.ENDED;
  }

  boolean isStopping() {
    return phase != Phase.SERVING;
  }

  boolean hasEnded() {
    return phase == Phase.ENDED;
  }

  /** Returns the time until the stop ends at the latest; negative once that has passed. */
  Duration untilEnd() {
    return Duration.ofNanos(endNanos - clock.nanoTime());
  }

  /**
   * Returns whether a request may be admitted. The answer stays the same during the stop, since the
   * request's deadline and the end of the stop are fixed.
   *
   * @param untilDeadline the time after which the request is ended whatever its upstream does
   */
  boolean admits(Duration untilDeadline) {
    return switch (phase) {
      case SERVING -> true;
      case STOPPING -> untilDeadline.compareTo(untilEnd()) < 0;
      case ENDED -> false;
    };
  }
}
