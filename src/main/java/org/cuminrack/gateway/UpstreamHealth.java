package org.cuminrack.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cuminrack.time.Clock;

/**
 * What requests have shown of upstreams: one that fails is avoided for a while, longer each time.
 * Safe for use by many threads: one lock, and nothing is called under it.
 */
public final class UpstreamHealth {
  private static final Duration FIRST_PAUSE = Duration.ofMillis(400);
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(5);

  /** Weight of the newest result in the moving failure share. */
  private static final double NEWEST_WEIGHT = 0.2;

  private final Clock clock;
  private final Map<String, Row> rows = new HashMap<>();

  public UpstreamHealth(Clock clock) {
    this.clock = clock;
  }

  /** Notes a request that was answered. */
  synchronized void succeeded(String upstreamId) {
    Row row = rows.computeIfAbsent(upstreamId, id -> new Row());
    row.failuresInRow = 0;
    row.failureShare *= 1 - NEWEST_WEIGHT;
  }

  /** Notes that an upstream could not be reached, broke off, or said nothing. */
  synchronized void failed(String upstreamId) {
    Row row = rows.computeIfAbsent(upstreamId, id -> new Row());
    row.failureShare = row.failureShare * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    long pauseMillis = FIRST_PAUSE.toMillis() << Math.min(row.failuresInRow, 10);
    Duration pause = Duration.ofMillis(Math.min(pauseMillis, LONGEST_PAUSE.toMillis()));
    row.failuresInRow++;
    row.avoidUntilNanos = clock.nanoTime() + pause.toNanos();
  }

  /** Tells whether an upstream is better left alone for now. */
  synchronized boolean isAvoided(String upstreamId) {
    Row row = rows.get(upstreamId);
    return row != null && row.failuresInRow > 0 && row.avoidUntilNanos - clock.nanoTime() > 0;
  }

  /** Returns the share of an upstream's last requests that failed. */
  synchronized double failureShare(String upstreamId) {
    Row row = rows.get(upstreamId);
    return row == null ? 0 : row.failureShare;
  }

  private static final class Row {
    private int failuresInRow;
    private double failureShare;
    private long avoidUntilNanos;
  }
}
