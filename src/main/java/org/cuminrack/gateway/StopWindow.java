package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.time.Clock;

/**
 * Which requests a gateway still takes once its planned stop has begun: those that will have ended
 * before it does. The others are better off elsewhere from the start. Safe for use by many threads.
 */
final class StopWindow {
  /** A shorter generation counts as a question, which is answered within its target. */
  private static final int LONG_OUTPUT_TOKENS = 100;

  /** How many times its target a question may take. */
  private static final int TARGETS_FOR_A_QUESTION = 2;

  private final Clock clock;
  private volatile boolean stopping;
  private volatile long endNanos;

  StopWindow(Clock clock) {
    this.clock = clock;
  }

  /** Begins the stop, which ends within this time. */
  void begin(Duration within) {
    endNanos = clock.nanoTime() + within.toNanos();
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Tells whether a request will have ended before this gateway does. */
  boolean admits(HttpRoute route, Optional<GenerationDemand> demand) {
    if (!stopping) {
      return true;
    }
    boolean isLong =
        route.kind().isStreamed()
            && demand.map(each -> each.maxOutputTokens() >= LONG_OUTPUT_TOKENS).orElse(true);
    if (isLong) {
      return false;
    }
    Duration needed =
        route.kind().isStreamed()
            ? route.targetLatency().multipliedBy(TARGETS_FOR_A_QUESTION)
            : route.timeout();
    return clock.nanoTime() + needed.toNanos() < endNanos;
  }
}
