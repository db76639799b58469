package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/** The limit that one upstream has named, and this gateway's requests. Not thread-safe. */
final class RateLimit {
  /** Shorter windows leave too few requests to share between gateways. */
  private static final Duration MIN_WINDOW = Duration.ofSeconds(2);

  /** Fewer requests a window would leave low rates unused for long. */
  private static final double MIN_REQUESTS_IN_WINDOW = 3;

  private static final Duration MAX_WINDOW = Duration.ofMinutes(1);

  /** Requests that go to an upstream whatever its limit, so that an answer can end the limit. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final double NANOS_PER_SECOND = 1e9;

  final RecentEvents sent = new RecentEvents();
  final RecentEvents eligible = new RecentEvents();

  /** The time since which this gateway counts its requests. */
  private final long sinceNanos;

  private OptionalDouble requestsPerSecond;
  private long statedNanos;
  private boolean observedHere;

  RateLimit(
      OptionalDouble requestsPerSecond, long statedNanos, boolean observedHere, long nowNanos) {
    this.sinceNanos = nowNanos;
    update(requestsPerSecond, statedNanos, observedHere);
  }

  void update(OptionalDouble newRequestsPerSecond, long newStatedNanos, boolean observed) {
    requestsPerSecond = newRequestsPerSecond;
    statedNanos = newStatedNanos;
    observedHere = observed;
  }

  boolean isInForce() {
    return requestsPerSecond.isPresent();
  }

  OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns the time of the answer that this limit, or its end, was last stated in. */
  long statedNanos() {
    return statedNanos;
  }

  Optional<RateLimitShare.Observation> observation(long nowNanos) {
    return observedHere
        ? Optional.of(
            new RateLimitShare.Observation(
                requestsPerSecond, Duration.ofNanos(nowNanos - statedNanos)))
        : Optional.empty();
  }

  /** Returns the rate that a part of all gateways, from 0 to 1, may use together. */
  double rateOf(double partOfGateways) {
    return Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond.orElse(0)) * partOfGateways;
  }

  /** Returns the time over which requests at a rate are counted. */
  static Duration window(double rate) {
    if (rate * MAX_WINDOW.toSeconds() <= MIN_REQUESTS_IN_WINDOW) {
      return MAX_WINDOW;
    }
    Duration window = Duration.ofNanos((long) (NANOS_PER_SECOND * MIN_REQUESTS_IN_WINDOW / rate));
    return window.compareTo(MIN_WINDOW) < 0 ? MIN_WINDOW : window;
  }

  /**
   * Returns the requests that fit into the window at a rate; fewer while the limit is newer than
   * the window, because nothing is known of the requests before.
   */
  double budget(double rate, long nowNanos) {
    long countedNanos = Math.min(window(rate).toNanos(), nowNanos - sinceNanos);
    return rate * countedNanos / NANOS_PER_SECOND;
  }
}
