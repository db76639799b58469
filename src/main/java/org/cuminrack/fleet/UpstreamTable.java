package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

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
  static final Duration LEFT_RETENTION = Duration.ofMinutes(2);

  /** How long an upstream without new announcements stays in the table. */
  private static final Duration SILENT_RETENTION = Duration.ofMinutes(2);

  private final Map<String, Row> rows = new HashMap<>();

  /** Ids by the number of the last change that gateways have to be told. */
  private final NavigableMap<Long, String> toldChanges = new TreeMap<>();

  /** Ids by the number of the change by which their announcement became late. */
  private final NavigableMap<Long, String> lateChanges = new TreeMap<>();

  private long lastChange;
  private long lastUrgentChange;

  /** Merges an announcement and returns its effect. */
  public synchronized UpstreamChange merge(UpstreamRecord announced) {
    Row row = rows.get(announced.id());
    if (row != null && !announced.isNewerThan(row.upstream)) {
      return UpstreamChange.STALE;
    }
    boolean routingChanged = row == null || changesRouting(row.upstream, announced);
    // A later upstream at the address of a known one has marked that one as left.
    if (routingChanged && isSupersededAtAddress(announced)) {
      return UpstreamChange.STALE;
    }
    if (!routingChanged) {
      renew(row, announced);
      return UpstreamChange.RENEWED;
    }
    boolean urgent = row != null || !hasReadyUpstream(announced.service());
    tell(announced);
    urgent |= markPredecessorsLeft(announced);
    if (urgent) {
      lastUrgentChange = lastChange;
    }
    return UpstreamChange.ROUTING_CHANGED;
  }

  private boolean hasReadyUpstream(String service) {
    return rows.values().stream()
        .map(row -> row.upstream)
        .anyMatch(
            upstream ->
                upstream.service().equals(service) && upstream.phase() == UpstreamPhase.READY);
  }

  private void renew(Row row, UpstreamRecord announced) {
    if (row.isLate() || announced.describesOtherCapacity(row.told)) {
      tell(announced);
    } else {
      lastChange++;
      rows.put(announced.id(), new Row(announced, lastChange, row.told, row.toldChange, 0));
    }
  }

  private boolean isSupersededAtAddress(UpstreamRecord announced) {
    if (announced.address().isEmpty()) {
      return false;
    }
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

  private boolean markPredecessorsLeft(UpstreamRecord successor) {
    if (successor.address().isEmpty()) {
      return false;
    }
    List<UpstreamRecord> predecessors =
        rows.values().stream()
            .map(row -> row.upstream)
            .filter(upstream -> upstream.address().equals(successor.address()))
            .filter(upstream -> !upstream.id().equals(successor.id()))
            .filter(upstream -> upstream.phase() != UpstreamPhase.LEFT)
            .toList();
    predecessors.forEach(upstream -> tell(upstream.withPhase(UpstreamPhase.LEFT)));
    return !predecessors.isEmpty();
  }

  private void tell(UpstreamRecord upstream) {
    lastChange++;
    Row before = rows.put(upstream.id(), new Row(upstream, lastChange, upstream, lastChange, 0));
    if (before != null) {
      removeFromChanges(before);
    }
    toldChanges.put(lastChange, upstream.id());
  }

  private void removeFromChanges(Row row) {
    toldChanges.remove(row.toldChange);
    lateChanges.remove(row.lateChange);
  }

  /**
   * Marks the upstreams as late whose last announcement is older than a limit; returns whether some
   * became late.
   */
  synchronized boolean markLate(Duration limit, long nowNanos) {
    long changeBefore = lastChange;
    for (Map.Entry<String, Row> entry : rows.entrySet()) {
      Row row = entry.getValue();
      UpstreamRecord upstream = row.upstream;
      if (!row.isLate()
          && upstream.phase() != UpstreamPhase.LEFT
          && upstream.age(nowNanos).compareTo(limit) > 0) {
        lastChange++;
        lateChanges.put(lastChange, upstream.id());
        entry.setValue(new Row(upstream, row.change, row.told, row.toldChange, lastChange));
      }
    }
    return lastChange > changeBefore;
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

  /**
   * Returns the number of the last change that a caller may wait for: an upstream left, drains,
   * restarted, or is the first one of its service.
   */
  synchronized long lastUrgentChange() {
    return lastUrgentChange;
  }

  /**
   * Returns what a gateway has to be told that knows the changes up to a number. The earliest
   * changes come first; changes beyond the limits are left for a further answer.
   */
  synchronized UpstreamChanges toTellAfter(long change, int maxChanged, int maxLate) {
    List<Map.Entry<Long, String>> changed = first(toldChanges, change, maxChanged);
    List<Map.Entry<Long, String>> late = first(lateChanges, change, maxLate);
    long upTo = Math.min(lastIncluded(toldChanges, changed), lastIncluded(lateChanges, late));
    return new UpstreamChanges(upstreams(changed), upstreams(late), upTo, upTo == lastChange);
  }

  private static List<Map.Entry<Long, String>> first(
      NavigableMap<Long, String> changes, long after, int limit) {
    return changes.tailMap(after, false).entrySet().stream().limit(limit).toList();
  }

  /** Returns up to which change nothing is left out. */
  private long lastIncluded(
      NavigableMap<Long, String> changes, List<Map.Entry<Long, String>> included) {
    if (included.isEmpty()) {
      return lastChange;
    }
    long last = included.get(included.size() - 1).getKey();
    return changes.higherKey(last) == null ? lastChange : last;
  }

  private List<UpstreamRecord> upstreams(List<Map.Entry<Long, String>> changes) {
    return changes.stream().map(change -> rows.get(change.getValue()).upstream).toList();
  }

  /** Replaces the time of the last announcement of each upstream. */
  synchronized void updateReceived(ToLongFunction<UpstreamRecord> receivedNanos) {
    for (Map.Entry<String, Row> entry : rows.entrySet()) {
      Row row = entry.getValue();
      long received = receivedNanos.applyAsLong(row.upstream);
      if (received != row.upstream.receivedNanos()) {
        entry.setValue(row.withUpstream(row.upstream.withReceived(received)));
      }
    }
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
        .removeIf(
            row -> {
              boolean expired = row.upstream.age(nowNanos).compareTo(retention(row.upstream)) > 0;
              if (expired) {
                removeFromChanges(row);
              }
              return expired;
            });
  }

  private static Duration retention(UpstreamRecord upstream) {
    return upstream.phase() == UpstreamPhase.LEFT ? LEFT_RETENTION : SILENT_RETENTION;
  }

  /**
   * The newest announcement of an upstream.
   *
   * @param change the number of its last change, renewals included
   * @param told the announcement that gateways were told last
   * @param toldChange the number of the change that made that one
   * @param lateChange the number of the change by which it became late; 0 if it is not
   */
  private record Row(
      UpstreamRecord upstream, long change, UpstreamRecord told, long toldChange, long lateChange) {

    boolean isLate() {
      return lateChange > 0;
    }

    Row withUpstream(UpstreamRecord other) {
      return new Row(other, change, told, toldChange, lateChange);
    }
  }
}
