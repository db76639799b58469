package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.member.ClusterView;

/** The last summaries of the pools that this entry sends requests to. Thread-safe. */
final class SummaryTable {
  private static final long SERVICE_IDLE_NANOS = 30_000_000_000L;
  private static final long MAX_SUMMARY_AGE_NANOS = 250_000_000L;

  private final Map<PoolKey, ReceivedSummary> summaries = new ConcurrentHashMap<>();
  private final Map<String, Long> lastUsedNanosByService = new ConcurrentHashMap<>();

  private record ReceivedSummary(PoolSummary summary, long receivedNanos) {}

  void put(PoolSummary summary, long nowNanos) {
    summaries.put(summary.pool(), new ReceivedSummary(summary, nowNanos));
  }

  /** Adjusts the last summary of a pool for a request sent to it. */
  void recordSent(PoolKey pool) {
    summaries.computeIfPresent(
        pool,
        (key, received) ->
            new ReceivedSummary(withOneMoreRequest(received.summary()), received.receivedNanos()));
  }

  /**
   * Returns the pools that may admit a request of a service. A pool without a summary is assumed to
   * have one free place.
   */
  List<PoolSummary> candidates(String service, ClusterView view, long nowNanos) {
    lastUsedNanosByService.put(service, nowNanos);
    List<PoolSummary> candidates = new ArrayList<>();
    for (PoolKey each : Shards.poolsOf(service, view)) {
      if (!view.configuration().isDrained(each.dataCentre())) {
        ReceivedSummary received = summaries.get(each);
        candidates.add(received == null ? new PoolSummary(each, 1, 1, 0, 1) : received.summary());
      }
    }
    return candidates;
  }

  /**
   * Returns the pools in use whose summaries are missing or stale; discards those of services no
   * longer in use.
   */
  List<PoolKey> dueForRefresh(ClusterView view, long nowNanos) {
    lastUsedNanosByService.values().removeIf(each -> nowNanos - each > SERVICE_IDLE_NANOS);
    List<PoolKey> stale = new ArrayList<>();
    for (String service : lastUsedNanosByService.keySet()) {
      for (PoolKey each : Shards.poolsOf(service, view)) {
        ReceivedSummary received = summaries.get(each);
        if (received == null || nowNanos - received.receivedNanos() > MAX_SUMMARY_AGE_NANOS) {
          stale.add(each);
        }
      }
    }
    summaries.keySet().removeIf(each -> !lastUsedNanosByService.containsKey(each.service()));
    return stale;
  }

  private static PoolSummary withOneMoreRequest(PoolSummary summary) {
    boolean hasPlace = summary.freePlaces() > 0;
    return new PoolSummary(
        summary.pool(),
        Math.max(0, summary.freePlaces() - 1),
        summary.limit(),
        hasPlace ? summary.waitMillis() : summary.waitMillis() + 1,
        summary.availableUpstreams());
  }
}
