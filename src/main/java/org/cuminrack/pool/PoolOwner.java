package org.cuminrack.pool;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.cuminrack.member.ClusterView;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;

/**
 * The pools that this entry owns. A pool begins to admit requests when two conditions hold: every
 * entry with a lease has put in force the epoch in which this entry became the owner, so that the
 * former owner has stopped; and either the former owner has handed over or all of its tickets have
 * expired. It admits nothing while this entry has no valid lease, and stops permanently with the
 * first view that has another owner.
 *
 * <p>An entry that remains the owner across a change of members continues without a pause: the hash
 * of a member never changes, so another entry can only have been the owner in between if it has
 * left since, and then its lease had expired. If such an entry is still stopping, the pools wait as
 * for a change of owner.
 */
final class PoolOwner {
  private final Membership membership;
  private final Clock clock;
  private final PolicyKind policy;
  private final HandOverSender handOvers;
  private final Map<PoolKey, OwnedPool> pools = new ConcurrentHashMap<>();
  private final Map<Long, Long> inForceSinceNanosByEpoch = new ConcurrentHashMap<>();
  private volatile Set<Long> lastViewSessions = Set.of();
  private volatile boolean stopping;

  PoolOwner(Membership membership, Clock clock, PolicyKind policy, HandOverSender handOvers) {
    this.membership = membership;
    this.clock = clock;
    this.policy = policy;
    this.handOvers = handOvers;
  }

  Collection<OwnedPool> pools() {
    return pools.values();
  }

  /** Returns a pool if this entry owns it in its current view; creates it on the first call. */
  Optional<OwnedPool> ownedPool(PoolKey key) {
    ClusterView view = membership.view();
    if (stopping || !isOwner(key, view)) {
      return Optional.empty();
    }
    return Optional.of(pools.computeIfAbsent(key, each -> create(each, view)));
  }

  Optional<OwnedPool> findByUpstream(String upstream, String bootId) {
    return pools.values().stream().filter(each -> each.hasUpstream(upstream, bootId)).findAny();
  }

  /**
   * Applies a view: releases pools with another owner and updates the rules and members of the
   * others.
   */
  void viewChanged(ClusterView view) {
    Set<Long> currentSessions =
        view.members().stream().map(EntryMember::sessionId).collect(Collectors.toSet());
    boolean membersChanged = !currentSessions.equals(lastViewSessions);
    boolean newMemberIsStopping = hasNewStoppingMember(view);
    lastViewSessions = currentSessions;
    for (OwnedPool each : pools.values()) {
      if (!isOwner(each.key(), view)) {
        release(each, view);
        continue;
      }
      each.applyRules(PoolRules.of(view, each.key()));
      if (membersChanged) {
        each.membersChanged(currentSessions);
      }
      if (newMemberIsStopping) {
        each.suspendUntil(view.epoch());
      }
    }
  }

  /**
   * Returns whether a member that the last view lacked is stopping: it joined and began to stop
   * between two views, and may have owned pools.
   */
  private boolean hasNewStoppingMember(ClusterView view) {
    return view.members().stream()
        .anyMatch(each -> each.stopping() && !lastViewSessions.contains(each.sessionId()));
  }

  /**
   * Releases every pool, as this entry stops. The hand-overs are sent as soon as a view has other
   * owners.
   */
  void releasePools() {
    stopping = true;
    ClusterView view = membership.view();
    pools.values().forEach(each -> release(each, view));
  }

  void tick() {
    recordInForceTime();
    for (OwnedPool each : pools.values()) {
      if (!each.isActive()) {
        activateIfDue(each);
      }
      each.tick();
    }
  }

  private void activateIfDue(OwnedPool pool) {
    if (membership.inForceRevision() < pool.epoch()) {
      return;
    }
    long nowNanos = clock.nanoTime();
    long inForceNanos = inForceSinceNanosByEpoch.computeIfAbsent(pool.epoch(), epoch -> nowNanos);
    boolean ticketsExpired = nowNanos - inForceNanos >= PoolLimits.DISPATCH_TIMEOUT.toNanos();
    if (pool.hasReceivedHandOver() || ticketsExpired) {
      pool.activate(inForceNanos);
    }
  }

  /** Records when the current epoch came into force at every entry. */
  private void recordInForceTime() {
    long epoch = membership.view().epoch();
    if (membership.inForceRevision() >= epoch) {
      inForceSinceNanosByEpoch.computeIfAbsent(epoch, each -> clock.nanoTime());
    }
    inForceSinceNanosByEpoch.keySet().removeIf(each -> each != epoch && !isAwaitedByPool(each));
  }

  private boolean isAwaitedByPool(long epoch) {
    return pools.values().stream().anyMatch(each -> each.epoch() == epoch && !each.isActive());
  }

  private OwnedPool create(PoolKey key, ClusterView view) {
    PoolCore core = new PoolCore(key, policy, view.epoch());
    OwnedPool pool = new OwnedPool(core, clock, membership::hasValidLease);
    pool.applyRules(PoolRules.of(view, key));
    return pool;
  }

  private void release(OwnedPool pool, ClusterView view) {
    if (pools.remove(pool.key(), pool)) {
      handOvers.send(pool.release(view.epoch()));
    }
  }

  private boolean isOwner(PoolKey key, ClusterView view) {
    Optional<EntryMember> owner = PoolOwnership.ownerOf(key, view);
    return owner.isPresent() && owner.get().sessionId() == membership.sessionId();
  }
}
