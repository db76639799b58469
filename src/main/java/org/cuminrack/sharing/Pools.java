package org.cuminrack.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.fleet.UpstreamTable;
import org.cuminrack.time.Clock;

/**
 * Divides the upstreams of each service into pools: one up to 64 upstreams, else a power of two by
 * the hash of the upstream's id. Gateways that see different upstreams may disagree for a moment
 * when their number passes such a bound. Thread-safe.
 */
final class Pools {
  private static final int MAX_UPSTREAMS = 64;

  /** The most pools of a service that are asked before a request is placed. */
  private static final int MAX_ASKED = 2;

  /** Counting the upstreams of a service costs a pass over all. */
  private static final Duration COUNT_TTL = Duration.ofSeconds(1);

  private final UpstreamTable upstreams;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<String, PoolCount> counts = new ConcurrentHashMap<>();

  private record PoolCount(int pools, long countedNanos) {}

  Pools(UpstreamTable upstreams, Clock clock, RandomGenerator random) {
    this.upstreams = upstreams;
    this.clock = clock;
    this.random = random;
  }

  /** Returns the number of pools of a service. */
  int count(String service) {
    long nowNanos = clock.nanoTime();
    PoolCount known = counts.get(service);
    if (known == null || nowNanos - known.countedNanos > COUNT_TTL.toNanos()) {
      known = new PoolCount(poolsFor(upstreams.ofService(service).size()), nowNanos);
      counts.put(service, known);
    }
    return known.pools;
  }

  private static int poolsFor(int upstreamCount) {
    int pools = 1;
    while (upstreamCount > pools * MAX_UPSTREAMS) {
      pools *= 2;
    }
    return pools;
  }

  /** Returns the pool of an upstream; empty if the upstream is not known. */
  Optional<PoolId> of(String upstreamId) {
    return upstreams.find(upstreamId).map(this::of);
  }

  /** Returns the pool of an upstream. */
  PoolId of(UpstreamRecord upstream) {
    int pools = count(upstream.service());
    int index = pools == 1 ? 0 : (int) (Hashes.of(upstream.id()) & (pools - 1));
    return new PoolId(upstream.service(), index);
  }

  /** Returns whether a pool exists with the present number of upstreams. */
  boolean exists(PoolId pool) {
    return pool.index() < count(pool.service());
  }

  /** Returns whether only a part of a service's pools is asked before a request is placed. */
  boolean asksPart(String service) {
    return count(service) > MAX_ASKED;
  }

  /** Returns the pools to ask before a request is placed: all, or two at random. */
  List<PoolId> toAsk(String service) {
    int pools = count(service);
    List<PoolId> chosen = new ArrayList<>(MAX_ASKED);
    int first = pools > MAX_ASKED ? random.nextInt(pools) : 0;
    chosen.add(new PoolId(service, first));
    if (pools > 1) {
      int step = pools > MAX_ASKED ? 1 + random.nextInt(pools - 1) : 1;
      chosen.add(new PoolId(service, (first + step) % pools));
    }
    return chosen;
  }
}
