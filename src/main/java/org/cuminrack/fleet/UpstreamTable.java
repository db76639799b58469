package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest announcement of each upstream. Every process converges to the same available
 * upstreams, regardless of the order in which it merges the announcements. Thread-safe; no callback
 * runs under the lock.
 */
public final class UpstreamTable {
  /**
   * How long an upstream that has left stays in the table, so that a late announcement is
   * recognised as stale.
   */
  private static final Duration LEFT_RETENTION = Duration.ofMinutes(2);

  /** How long an upstream without new announcements stays in the table. */
  private static final Duration SILENT_RETENTION = Duration.ofMinutes(2);

  private final Map<String, Row> rows = new HashMap<>();
  private long lastChange;

  /** Merges an announcement and returns its effect. */
  public synchronized UpstreamChange merge(UpstreamRecord announced) {
    Row row = rows.get(announced.id());
    if (row != null && !announced.isNewerThan(row.upstream)) {
      return UpstreamChange.STALE;
    }
    if (isSupersededAtAddress(announced)) {
      return UpstreamChange.STALE;
    }
    boolean routingChanged = row == null || changesRouting(row.upstream, announced);
    put(announced);
    if (routingChanged) {
      markPredecessorsLeft(announced);
    }
    return routingChanged ? UpstreamChange.ROUTING_CHANGED : UpstreamChange.RENEWED;
  }

  private boolean isSupersededAtAddress(UpstreamRecord announced) {
    return rows.values().stream()
        .map(row -> row.upstream)
        .anyMatch(
            upstream ->
                upstream.address().equals(announced.address())
                    && !upstream.id().equals(announced.id())
                    && upstream.startedMillis() > announced.startedMillis());
  }

  private static boolean changesRouting(UpstreamRecord before, UpstreamRecord after) {
    return before.startedMillis() != after.startedMillis()
        || before.phase() != after.phase()
        || !before.address().equals(after.address())
        || !before.service().equals(after.service())
        || !before.version().equals(after.version());
  }

  private void markPredecessorsLeft(UpstreamRecord successor) {
    List<UpstreamRecord> predecessors =
        rows.values().stream()
            .map(row -> row.upstream)
            .filter(upstream -> upstream.address().equals(successor.address()))
            .filter(upstream -> !upstream.id().equals(successor.id()))
            .filter(upstream -> upstream.phase() != UpstreamPhase.LEFT)
            .toList();
    predecessors.forEach(upstream -> put(upstream.withPhase(UpstreamPhase.LEFT)));
  }

  private void put(UpstreamRecord upstream) {
    lastChange++;
    rows.put(upstream.id(), new Row(upstream, lastChange));
  }

  /** Returns an upstream by its id. */
  public synchronized Optional<UpstreamRecord> find(String id) {
    return Optional.ofNullable(rows.get(id)).map(row -> row.upstream);
  }

  /** Returns the number of the last change; changes are numbered from 1. */
  public synchronized long lastChange() {
    return lastChange;
  }

  /** Returns the upstreams that changed after the change with this number. */
  public synchronized List<UpstreamRecord> changedAfter(long change) {
    return rows.values().stream()
        .filter(row -> row.change > change)
        .map(row -> row.upstream)
        .toList();
  }

  /** Returns the upstreams of a service that have not left. */
  public synchronized List<UpstreamRecord> ofService(String service) {
    List<UpstreamRecord> found = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.upstream.service().equals(service) && row.upstream.phase() != UpstreamPhase.LEFT) {
        found.add(row.upstream);
      }
    }
    return found;
  }

  /** Returns all upstreams, including those that have left. */
  public synchronized List<UpstreamRecord> all() {
    return rows.values().stream().map(row -> row.upstream).toList();
  }

  /** Removes upstreams whose last announcement is older than the retention. */
  public synchronized void removeSilent(long nowNanos) {
    rows.values()
        .removeIf(row -> row.upstream.age(nowNanos).compareTo(retention(row.upstream)) > 0);
  }

  private static Duration retention(UpstreamRecord upstream) {
    return upstream.phase() == UpstreamPhase.LEFT ? LEFT_RETENTION : SILENT_RETENTION;
  }

  private record Row(UpstreamRecord upstream, long change) {}
}
