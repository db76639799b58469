package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cuminrack.time.Clock;

/**
 * Passive health checks: an upstream whose requests fail is avoided with exponential backoff.
 * Thread-safe; no callback runs under the lock.
 */
public final class UpstreamHealth {
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

  /** Weight of the newest result in the moving average of failures. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private final Clock clock;
  private final Map<String, Stats> statsById = new HashMap<>();

  public UpstreamHealth(Clock clock) {
    this.clock = clock;
  }

  /** Records that an upstream answered a request. */
  synchronized void recordSuccess(String upstreamId) {
    Stats stats = statsById.computeIfAbsent(upstreamId, id -> new Stats());
    stats.consecutiveFailures = 0;
    stats.failureShare *= 1 - SAMPLE_WEIGHT;
  }

  /** Records that an upstream could not be reached, broke off its response, or did not answer. */
  synchronized void recordFailure(String upstreamId) {
    Stats stats = statsById.computeIfAbsent(upstreamId, id -> new Stats());
    stats.failureShare = stats.failureShare * (1 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT;
    long backoffMillis = INITIAL_BACKOFF.toMillis() << Math.min(stats.consecutiveFailures, 10);
    Duration backoff = Duration.ofMillis(Math.min(backoffMillis, MAX_BACKOFF.toMillis()));
    stats.consecutiveFailures++;
    stats.avoidUntilNanos = clock.nanoTime() + backoff.toNanos();
  }

  /** Returns whether an upstream is in backoff after failures. */
  synchronized boolean isAvoided(String upstreamId) {
    Stats stats = statsById.get(upstreamId);
    return stats != null
        && stats.consecutiveFailures > 0
        && stats.avoidUntilNanos - clock.nanoTime() > 0;
  }

  /** Returns the moving average of an upstream's failures, from 0 to 1. */
  synchronized double failureShare(String upstreamId) {
    Stats stats = statsById.get(upstreamId);
    return stats == null ? 0 : stats.failureShare;
  }

  private static final class Stats {
    private int consecutiveFailures;
    private double failureShare;
    private long avoidUntilNanos;
  }
}
