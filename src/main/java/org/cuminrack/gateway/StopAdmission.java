package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.time.Clock;

/**
 * Admission of requests during a gateway's planned stop: admits only those that are expected to end
 * before the gateway stops. The others are refused at once, so that they go to another gateway
 * instead of being aborted. Thread-safe.
 */
final class StopAdmission {
  /**
   * Generations with a lower output limit count as short; see {@link
   * #SHORT_GENERATION_MAX_TARGET_MULTIPLE}.
   */
  private static final int MIN_LONG_OUTPUT_TOKENS = 100;

  /** Upper bound of a short generation's duration, in multiples of its target latency. */
  private static final int SHORT_GENERATION_MAX_TARGET_MULTIPLE = 2;

  private final Clock clock;
  private volatile boolean stopping;
  private volatile long endNanos;

  StopAdmission(Clock clock) {
    this.clock = clock;
  }

  /** Begins the stop, which ends after the stop timeout at the latest. */
  void begin(Duration stopTimeout) {
    endNanos = clock.nanoTime() + stopTimeout.toNanos();
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /**
   * Returns whether a request may be admitted: always unless stopping, then only if it is expected
   * to end before the gateway stops.
   */
  boolean admits(HttpRoute route, Optional<GenerationDemand> demand) {
    if (!stopping) {
      return true;
    }
    boolean isLong =
        route.kind().isStreamed()
            && demand
                .map(stated -> stated.maxOutputTokens() >= MIN_LONG_OUTPUT_TOKENS)
                .orElse(true);
    if (isLong) {
      return false;
    }
    Duration maxDuration =
        route.kind().isStreamed()
            ? route.targetLatency().multipliedBy(SHORT_GENERATION_MAX_TARGET_MULTIPLE)
            : route.timeout();
    return clock.nanoTime() + maxDuration.toNanos() < endNanos;
  }
}
