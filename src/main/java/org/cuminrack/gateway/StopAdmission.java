package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cuminrack.routing.EngineSpec;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.time.Clock;

/**
 * Admission of requests during a gateway's planned stop: admits only those that end before the
 * gateway stops, by their deadline or, for generations, if they meet the targets of their route.
 * The others are refused at once, so that they go to another gateway instead of being aborted.
 * Thread-safe.
 */
final class StopAdmission {
  /** Short, because another gateway can serve the request. */
  static final Duration RETRY_AFTER = Duration.ofMillis(50);

  /** The shortest duration that is expected of a generation, in multiples of its target latency. */
  private static final int MIN_DURATION_TARGET_MULTIPLE = 2;

  /** Share of the target latency by which a generation may exceed the targets of its route. */
  private static final double MARGIN_SHARE_OF_TARGET = 0.25;

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
   *
   * @param untilDeadline the time until the request fails at the latest
   * @param demand the size of a generation; empty for other requests
   * @param engine the engines that a generation would run on; empty for other requests
   */
  boolean admits(
      HttpRoute route,
      Duration untilDeadline,
      Optional<GenerationDemand> demand,
      Optional<EngineSpec> engine) {
    if (!stopping) {
      return true;
    }
    Duration untilStopped = Duration.ofNanos(endNanos - clock.nanoTime());
    return untilDeadline.compareTo(untilStopped) < 0
        || expectedDuration(route, demand, engine)
            .filter(duration -> duration.compareTo(untilStopped) < 0)
            .isPresent();
  }

  /**
   * Returns the time that a generation with the longest possible output takes by the targets of its
   * route, with a margin; empty if the request is not a generation of known size and pace.
   */
  private static Optional<Duration> expectedDuration(
      HttpRoute route, Optional<GenerationDemand> demand, Optional<EngineSpec> engine) {
    if (!route.kind().isStreamed()
        || demand.isEmpty()
        || engine.isEmpty()
        || route.targetEventGap().isEmpty()) {
      return Optional.empty();
    }
    Duration target = route.targetLatency();
    long gaps = Math.max(0, engine.get().eventsFor(demand.get().maxOutputTokens()) - 1);
    Duration byTargets = target.plus(route.targetEventGap().get().multipliedBy(gaps));
    Duration withMargin = byTargets.plusMillis((long) (target.toMillis() * MARGIN_SHARE_OF_TARGET));
    Duration shortest = target.multipliedBy(MIN_DURATION_TARGET_MULTIPLE);
    return Optional.of(withMargin.compareTo(shortest) > 0 ? withMargin : shortest);
  }
}
