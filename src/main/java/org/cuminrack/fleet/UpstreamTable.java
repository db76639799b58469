package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest announcement of each upstream. Merging is commutative, so that every process ends with
 * the same table in whatever order announcements come. Safe for use by many threads: one lock, and
 * nothing is called under it.
 */
public final class UpstreamTable {
  /** How long an upstream that has left is remembered, so that a late announcement is known. */
  private static final Duration MEMORY_OF_LEFT = Duration.ofMinutes(2);

  /** How long a silent upstream is kept. */
  private static final Duration MEMORY_OF_SILENT = Duration.ofMinutes(2);

  private final Map<String, Row> rows = new HashMap<>();
  private long lastChange;

  /** Takes an announcement in. */
  public synchronized UpstreamChange merge(UpstreamRecord announced) {
    Row row = rows.get(announced.id());
    if (row != null && !announced.isNewerThan(row.upstream)) {
      return UpstreamChange.STALE;
    }
    if (belongsToPastLife(announced)) {
      return UpstreamChange.STALE;
    }
    boolean moved = row == null || isDifferent(row.upstream, announced);
    put(announced);
    if (moved) {
      retireFormerAt(announced);
    }
    return moved ? UpstreamChange.MOVED : UpstreamChange.RENEWED;
  }

  private boolean belongsToPastLife(UpstreamRecord announced) {
    return rows.values().stream()
        .map(each -> each.upstream)
        .anyMatch(
            each ->
                each.address().equals(announced.address())
                    && !each.id().equals(announced.id())
                    && each.bornMillis() > announced.bornMillis());
  }

  private static boolean isDifferent(UpstreamRecord before, UpstreamRecord after) {
    return before.bornMillis() != after.bornMillis()
        || before.phase() != after.phase()
        || !before.address().equals(after.address())
        || !before.service().equals(after.service());
  }

  private void retireFormerAt(UpstreamRecord newcomer) {
    List<UpstreamRecord> former =
        rows.values().stream()
            .map(each -> each.upstream)
            .filter(each -> each.address().equals(newcomer.address()))
            .filter(each -> !each.id().equals(newcomer.id()))
            .filter(each -> each.phase() != UpstreamPhase.LEFT)
            .toList();
    former.forEach(each -> put(each.in(UpstreamPhase.LEFT)));
  }

  private void put(UpstreamRecord upstream) {
    lastChange++;
    rows.put(upstream.id(), new Row(upstream, lastChange));
  }

  /** Returns an upstream by its id. */
  public synchronized Optional<UpstreamRecord> find(String id) {
    return Optional.ofNullable(rows.get(id)).map(row -> row.upstream);
  }

  /** Returns the number of the last change; changes count up from 1. */
  public synchronized long lastChange() {
    return lastChange;
  }

  /** Returns what changed after the change of this number. */
  public synchronized List<UpstreamRecord> changesAfter(long change) {
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

  /** Returns every upstream, those that have left included. */
  public synchronized List<UpstreamRecord> all() {
    return rows.values().stream().map(row -> row.upstream).toList();
  }

  /** Forgets what has been silent for long. */
  public synchronized void forgetSilent(long nowNanos) {
    rows.values().removeIf(row -> row.upstream.age(nowNanos).compareTo(memory(row.upstream)) > 0);
  }

  private static Duration memory(UpstreamRecord upstream) {
    return upstream.phase() == UpstreamPhase.LEFT ? MEMORY_OF_LEFT : MEMORY_OF_SILENT;
  }

  private record Row(UpstreamRecord upstream, long change) {}
}
