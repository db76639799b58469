package org.cuminrack.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cuminrack.gateway.Incarnation;
import org.cuminrack.gateway.RateLimitShare;

/**
 * The limits that upstreams of one pool have named: the newest observation of each, and the sums of
 * the requests that gateways have sent. Not thread-safe.
 */
final class BoardLimits {
  /** Longer than gateways keep a limit without an answer. */
  private static final Duration OBSERVATION_TTL = Duration.ofMinutes(11);

  private final Map<Incarnation, Observed> observations = new HashMap<>();

  private static final class Observed {
    private final ChangeMark mark = new ChangeMark();
    private OptionalDouble requestsPerSecond = OptionalDouble.empty();
    private long statedNanos;
    private String vm = "";

    private boolean isToldTo(String caller, long knownVersion) {
      return !vm.equals(caller)
          && (requestsPerSecond.isPresent() || mark.isChangedFor(caller, knownVersion));
    }
  }

  /** Learns the observations of a gateway. */
  void observe(String vm, Collection<RateLimitShare> shares, long nowNanos, long version) {
    for (RateLimitShare share : shares) {
      share
          .observed()
          .ifPresent(observation -> observe(vm, key(share), observation, nowNanos, version));
    }
  }

  private void observe(
      String vm,
      Incarnation upstream,
      RateLimitShare.Observation observation,
      long nowNanos,
      long version) {
    long statedNanos = nowNanos - observation.age().toNanos();
    Observed known = observations.get(upstream);
    if (known == null) {
      known = new Observed();
      observations.put(upstream, known);
    } else if (statedNanos - known.statedNanos <= 0) {
      return;
    }
    if (!known.requestsPerSecond.equals(observation.requestsPerSecond())) {
      known.mark.record(vm, version);
    }
    known.requestsPerSecond = observation.requestsPerSecond();
    known.statedNanos = statedNanos;
    known.vm = vm;
  }

  private static Incarnation key(RateLimitShare share) {
    return new Incarnation(share.upstreamId(), share.startedMillis());
  }

  /**
   * Returns what a gateway is told of all limits.
   *
   * @param own the shares of the gateway itself
   * @param others the shares of all other gateways whose requests are known
   */
  List<RateLimitShare> told(
      String vm,
      long knownVersion,
      Collection<RateLimitShare> own,
      Collection<RateLimitShare> others,
      long nowNanos) {
    Map<Incarnation, int[]> sums = new HashMap<>();
    for (RateLimitShare share : others) {
      int[] sum = sums.computeIfAbsent(key(share), upstream -> new int[2]);
      sum[0] += share.sent();
      sum[1] += share.eligible();
    }
    Set<Incarnation> upstreams = new LinkedHashSet<>(sums.keySet());
    own.forEach(share -> upstreams.add(key(share)));
    observations.forEach(
        (upstream, observed) -> {
          if (observed.isToldTo(vm, knownVersion)) {
            upstreams.add(upstream);
          }
        });
    List<RateLimitShare> told = new ArrayList<>(upstreams.size());
    for (Incarnation upstream : upstreams) {
      int[] sum = sums.getOrDefault(upstream, new int[2]);
      Optional<RateLimitShare.Observation> observation =
          Optional.ofNullable(observations.get(upstream))
              .filter(observed -> observed.isToldTo(vm, knownVersion))
              .map(observed -> observation(observed, nowNanos));
      told.add(
          new RateLimitShare(upstream.id(), upstream.startedMillis(), observation, sum[0], sum[1]));
    }
    return told;
  }

  private static RateLimitShare.Observation observation(Observed observed, long nowNanos) {
    return new RateLimitShare.Observation(
        observed.requestsPerSecond, Duration.ofNanos(nowNanos - observed.statedNanos));
  }

  void removeExpired(long nowNanos) {
    observations
        .values()
        .removeIf(observed -> nowNanos - observed.statedNanos > OBSERVATION_TTL.toNanos());
  }
}
