package org.cuminrack.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.time.Clock;

/**
 * A pool that this entry owns or is about to own. Guarded by this object's lock; futures are
 * completed after the lock is released, and no other lock is acquired while it is held.
 */
final class OwnedPool {
  private final PoolCore core;
  private final Clock clock;
  private final BooleanSupplier hasLease;
  private final RequestIds ids = new RequestIds();
  private final Map<Long, Waiter> waiters = new HashMap<>();
  private final RecentSet<RequestKey> recentlyCancelled = new RecentSet<>();
  private final RecentSet<Long> recentlyReturned = new RecentSet<>();
  private long requiredEpoch;
  private boolean active;
  private boolean admitting = true;
  private boolean handOverReceived;

  private record Waiter(CompletableFuture<PoolResponse> response, long arrivedNanos) {}

  private record Completion(CompletableFuture<PoolResponse> future, PoolResponse response) {}

  /**
   * @param hasLease returns whether this entry currently holds a fresh lease
   */
  OwnedPool(PoolCore core, Clock clock, BooleanSupplier hasLease) {
    this.core = core;
    this.clock = clock;
    this.hasLease = hasLease;
    this.requiredEpoch = core.epoch();
    core.formerOwnerMayAdmit();
  }

  PoolKey key() {
    return core.key();
  }

  /** Returns the epoch that must be in force at every entry before this pool admits requests. */
  synchronized long epoch() {
    return requiredEpoch;
  }

  /**
   * Suspends admission until a later epoch is in force, as another entry may have owned the pool in
   * between.
   */
  void suspendUntil(long epoch) {
    runEvent(
        now -> {
          active = false;
          handOverReceived = false;
          requiredEpoch = epoch;
          return List.of();
        });
  }

  synchronized boolean isActive() {
    return active;
  }

  synchronized boolean hasReceivedHandOver() {
    return handOverReceived;
  }

  /**
   * Begins to admit requests.
   *
   * @param stoppedNanos when every former owner had stopped
   */
  void activate(long stoppedNanos) {
    runEvent(
        now -> {
          active = true;
          core.formerOwnerStopped(stoppedNanos);
          return List.of();
        });
  }

  /** Stops permanently and returns the hand-over for the next owner. */
  PoolHandOver release(long viewEpoch) {
    runEvent(
        now -> {
          active = false;
          return List.of();
        });
    synchronized (this) {
      return core.handOver(viewEpoch, ids::keyOf, clock.nanoTime());
    }
  }

  /**
   * Handles a change of members; upstreams that announce themselves may have been known to another
   * owner.
   */
  void membersChanged(Set<Long> sessions) {
    runEvent(
        now -> {
          if (active) {
            core.formerOwnerStopped(now);
          }
          List<PoolDecision> decisions = new ArrayList<>();
          for (long id : ids.idsOutside(sessions)) {
            decisions.addAll(core.orphaned(id, now));
            waiters.remove(id);
            ids.forget(id);
          }
          return decisions;
        });
  }

  void restore(PoolHandOver handOver) {
    runEvent(
        now -> {
          handOverReceived = true;
          return core.restore(withoutReturnedTickets(handOver), ids::findOrCreateId, now);
        });
  }

  void applyRules(PoolRules rules) {
    runEvent(now -> core.applyRules(rules, now));
  }

  CompletableFuture<PoolResponse> submit(RequestKey requestKey, AdmissionRequest request) {
    CompletableFuture<PoolResponse> response = new CompletableFuture<>();
    runEvent(
        now -> {
          long id = ids.findOrCreateId(requestKey);
          waiters.put(id, new Waiter(response, now));
          if (recentlyCancelled.contains(requestKey)) {
            return List.of(new PoolDecision.Refused(id, RefusalReason.DEADLINE, Duration.ZERO));
          }
          return core.submit(id, request, now);
        });
    return response;
  }

  /** Cancels a request whose entry no longer needs the response or has lost it. */
  void cancel(RequestKey requestKey) {
    runEvent(
        now -> {
          Optional<Long> id = ids.find(requestKey);
          recentlyCancelled.add(requestKey);
          id.ifPresent(waiters::remove);
          id.ifPresent(ids::forget);
          return id.map(each -> core.cancel(each, now)).orElse(List.of());
        });
  }

  void returnTicket(long ticketId, RequestKey requestKey, TicketOutcome outcome) {
    runEvent(
        now -> {
          recentlyReturned.add(ticketId);
          ids.find(requestKey).ifPresent(ids::forget);
          return core.returnTicket(ticketId, outcome, now);
        });
  }

  /** Handles an announcement; returns false if the pool has no slot for the upstream. */
  boolean announced(Announcement announcement) {
    runEvent(now -> core.announced(announcement, now));
    return hasUpstream(announcement.upstream(), announcement.bootId());
  }

  synchronized boolean hasUpstream(String upstream, String bootId) {
    return core.hasUpstream(upstream, bootId);
  }

  void reported(Report report) {
    runEvent(now -> core.reported(report, now));
  }

  synchronized void cacheEvents(CacheEvents events) {
    core.cacheEvents(events);
  }

  void tick() {
    runEvent(core::tick);
  }

  synchronized PoolSummary summary() {
    return core.summary(clock.nanoTime());
  }

  private PoolHandOver withoutReturnedTickets(PoolHandOver handOver) {
    List<PoolHandOver.TicketPart> outstanding =
        handOver.tickets().stream()
            .filter(each -> !recentlyReturned.contains(each.ticketId()))
            .toList();
    return new PoolHandOver(
        handOver.pool(), handOver.epoch(), handOver.upstreams(), outstanding, handOver.lengths());
  }

  private void runEvent(Function<Long, List<PoolDecision>> event) {
    List<Completion> completions = new ArrayList<>();
    synchronized (this) {
      long now = clock.nanoTime();
      collect(checkLease(now), now, completions);
      collect(event.apply(now), now, completions);
      collect(checkLease(now), now, completions);
    }
    completions.forEach(each -> each.future().complete(each.response()));
  }

  private List<PoolDecision> checkLease(long now) {
    boolean mayAdmit = active && hasLease.getAsBoolean();
    if (mayAdmit == admitting) {
      return List.of();
    }
    admitting = mayAdmit;
    return core.setAdmitting(mayAdmit, now);
  }

  private void collect(List<PoolDecision> decisions, long now, List<Completion> completions) {
    for (PoolDecision each : decisions) {
      Waiter waiter = waiters.remove(each.requestId());
      if (each instanceof PoolDecision.Refused) {
        ids.forget(each.requestId());
      }
      if (waiter != null) {
        PoolResponse response = new PoolResponse(each, now - waiter.arrivedNanos());
        completions.add(new Completion(waiter.response(), response));
      }
    }
  }
}
