package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cuminrack.log.LogEvent;
import org.cuminrack.time.Clock;

/**
 * Tells for each service whether this gateway reaches any of its upstreams: by the responses that
 * begin, and by the dispatches that fail before a response. What the upstreams' announcements say
 * does not count, as they come over other paths. Thread-safe; no callback runs under the lock.
 */
public final class ServiceReach {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Different upstreams that have to fail, with no response in between; one alone may be down. A
   * service with one upstream is never taken for unreached.
   */
  private static final int MIN_FAILED_UPSTREAMS = 2;

  private final Clock clock;
  private final Map<String, Stats> statsByService = new HashMap<>();

  public ServiceReach(Clock clock) {
    this.clock = clock;
  }

  /** Records that a response of one of the service's upstreams has begun. */
  void recordResponse(String service) {
    Duration unreachedFor;
    synchronized (this) {
      Stats stats = statsByService.computeIfAbsent(service, name -> new Stats());
      long nowNanos = clock.nanoTime();
      unreachedFor =
          stats.isUnreached() ? Duration.ofNanos(nowNanos - stats.unreachedSinceNanos) : null;
      stats.failedIds.clear();
      stats.lastResponseNanos = nowNanos;
      stats.hasResponded = true;
    }
    if (unreachedFor != null) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("service-reached")
              .with("service", service)
              .with("unreached_ms", unreachedFor.toMillis()));
    }
  }

  /** Records that a dispatch to an upstream failed before any byte of a response. */
  void recordNoResponse(String service, String upstreamId) {
    LogEvent event = null;
    synchronized (this) {
      Stats stats = statsByService.computeIfAbsent(service, name -> new Stats());
      boolean wasUnreached = stats.isUnreached();
      stats.failedIds.add(upstreamId);
      if (!wasUnreached && stats.isUnreached()) {
        stats.unreachedSinceNanos = clock.nanoTime();
        event =
            LogEvent.named("service-unreached")
                .with("service", service)
                .with("failed", Set.copyOf(stats.failedIds))
                .with("last_response_ms", stats.millisSinceResponse());
      }
    }
    if (event != null) {
      logger.atWarning().log("%s", event);
    }
  }

  /** Returns the number of services of which no upstream has been reached lately. */
  public synchronized int unreachedServices() {
    return (int) statsByService.values().stream().filter(Stats::isUnreached).count();
  }

  private static final class Stats {
    private final Set<String> failedIds = new HashSet<>();
    private boolean hasResponded;
    private long lastResponseNanos;
    private long unreachedSinceNanos;

    boolean isUnreached() {
      return failedIds.size() >= MIN_FAILED_UPSTREAMS;
    }

    /** Returns -1 if there was no response yet. */
    long millisSinceResponse() {
      return hasResponded
          ? Duration.ofNanos(unreachedSinceNanos - lastResponseNanos).toMillis()
          : -1;
    }
  }
}
