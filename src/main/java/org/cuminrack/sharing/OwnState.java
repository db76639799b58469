package org.cuminrack.sharing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.cuminrack.fairshare.OrganisationDemand;
import org.cuminrack.gateway.Incarnation;
import org.cuminrack.gateway.RateLimitShare;
import org.cuminrack.gateway.UpstreamLoad;

/** What this gateway has to tell the board of one pool. */
record OwnState(
    Map<String, UpstreamLoad> loads,
    List<RateLimitShare> limits,
    Set<Incarnation> leaving,
    List<OrganisationDemand> demand) {

  /** Returns whether the gateway has requests that count against a limit. */
  boolean usesLimits() {
    return limits.stream().anyMatch(share -> share.sent() > 0 || share.eligible() > 0);
  }

  /** Returns the limits, or ends of limits, that answers at this gateway have named. */
  Map<Incarnation, OptionalDouble> observedLimits() {
    if (limits.isEmpty()) {
      return Map.of();
    }
    Map<Incarnation, OptionalDouble> observed = new HashMap<>();
    for (RateLimitShare share : limits) {
      share
          .observed()
          .ifPresent(
              observation ->
                  observed.put(
                      new Incarnation(share.upstreamId(), share.startedMillis()),
                      observation.requestsPerSecond()));
    }
    return observed;
  }

  /** Returns whether this gateway has load or demand that expires unless it is told again. */
  boolean isActive() {
    return !loads.isEmpty() || !demand.isEmpty();
  }

  /** Returns what to tell the board of one pool. */
  static OwnState of(PoolId pool, SharedTables tables, Pools pools) {
    return byPool(tables, pools).getOrDefault(pool, empty()).withDemand(demand(pool, tables));
  }

  /**
   * Returns the demand to tell the board of a pool: that of the service, if the pool is its first.
   */
  static List<OrganisationDemand> demand(PoolId pool, SharedTables tables) {
    return pool.isFirst() ? tables.demand().own(pool.service()) : List.of();
  }

  /** Returns what to tell each pool, but for demand, if there is anything. */
  static Map<PoolId, OwnState> byPool(SharedTables tables, Pools pools) {
    Map<PoolId, OwnState> states = new HashMap<>();
    tables
        .loads()
        .ownLoads()
        .forEach(
            (id, load) -> pools.of(id).ifPresent(pool -> of(states, pool).loads.put(id, load)));
    tables
        .rateLimits()
        .ownShares()
        .forEach(
            share ->
                pools.of(share.upstreamId()).ifPresent(pool -> of(states, pool).limits.add(share)));
    tables
        .notices()
        .ownLeaving()
        .forEach(
            upstream ->
                pools.of(upstream.id()).ifPresent(pool -> of(states, pool).leaving.add(upstream)));
    return states;
  }

  private static OwnState of(Map<PoolId, OwnState> states, PoolId pool) {
    return states.computeIfAbsent(pool, key -> empty());
  }

  static OwnState empty() {
    return new OwnState(new HashMap<>(), new ArrayList<>(), new HashSet<>(), List.of());
  }

  OwnState withDemand(List<OrganisationDemand> newDemand) {
    return new OwnState(loads, limits, leaving, newDemand);
  }
}
