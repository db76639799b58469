package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.member.ClusterView;

/** The last digests of the pools that this entry sends requests to. Thread-safe. */
final class DigestTable {
  private static final long SERVICE_IDLE_NANOS = 30_000_000_000L;
  private static final long MAX_DIGEST_AGE_NANOS = 250_000_000L;

  private final Map<PoolKey, ReceivedDigest> digests = new ConcurrentHashMap<>();
  private final Map<String, Long> lastUsedNanosByService = new ConcurrentHashMap<>();

  private record ReceivedDigest(PoolDigest digest, long receivedNanos) {}

  void put(PoolDigest digest, long nowNanos) {
    digests.put(digest.pool(), new ReceivedDigest(digest, nowNanos));
  }

  /** Adjusts the last digest of a pool for a request sent to it. */
  void recordSent(PoolKey pool) {
    digests.computeIfPresent(
        pool,
        (key, received) ->
            new ReceivedDigest(withOneMoreRequest(received.digest()), received.receivedNanos()));
  }

  /**
   * Returns the pools that may admit a request of a service. A pool without a digest is assumed to
   * have one free place.
   */
  List<PoolDigest> candidates(String service, ClusterView view, long nowNanos) {
    lastUsedNanosByService.put(service, nowNanos);
    List<PoolDigest> candidates = new ArrayList<>();
    for (PoolKey each : Shards.poolsOf(service, view)) {
      if (!view.configuration().isDrained(each.dataCentre())) {
        ReceivedDigest received = digests.get(each);
        candidates.add(received == null ? new PoolDigest(each, 1, 1, 0, 1) : received.digest());
      }
    }
    return candidates;
  }

  /** Returns the pools in use whose digests are missing or stale. */
  List<PoolKey> dueForRefresh(ClusterView view, long nowNanos) {
    lastUsedNanosByService.values().removeIf(each -> nowNanos - each > SERVICE_IDLE_NANOS);
    List<PoolKey> stale = new ArrayList<>();
    for (String service : lastUsedNanosByService.keySet()) {
      for (PoolKey each : Shards.poolsOf(service, view)) {
        ReceivedDigest received = digests.get(each);
        if (received == null || nowNanos - received.receivedNanos() > MAX_DIGEST_AGE_NANOS) {
          stale.add(each);
        }
      }
    }
    digests.keySet().removeIf(each -> !lastUsedNanosByService.containsKey(each.service()));
    return stale;
  }

  private static PoolDigest withOneMoreRequest(PoolDigest digest) {
    boolean hasPlace = digest.freePlaces() > 0;
    return new PoolDigest(
        digest.pool(),
        Math.max(0, digest.freePlaces() - 1),
        digest.limit(),
        hasPlace ? digest.waitMillis() : digest.waitMillis() + 1,
        digest.availableUpstreams());
  }
}
