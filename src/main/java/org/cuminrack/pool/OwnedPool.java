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
 * A pool that this entry owns or is about to own. Its state is guarded by this object's lock;
 * futures are completed after the lock is released, and no other lock is acquired while it is held.
 */
final class OwnedPool {
  private final PoolCore core;
  private final Clock clock;
  private final BooleanSupplier hasValidLease;
  private final RequestIds requestIds = new RequestIds();
  private final Map<Long, Waiter> waiters = new HashMap<>();
  private final RecentSet<RequestKey> recentlyCancelled = new RecentSet<>();
  private final RecentSet<Long> recentlyReturned = new RecentSet<>();
  private long requiredEpoch;
  private boolean active;

  /** Whether {@link PoolCore} admits requests. */
  private boolean admitting = true;

  private boolean handOverReceived;

  private record Waiter(CompletableFuture<PoolResponse> response, long arrivedNanos) {}

  private record Completion(CompletableFuture<PoolResponse> future, PoolResponse response) {}

  /**
   * @param hasValidLease returns whether this entry currently holds a valid lease
   */
  OwnedPool(PoolCore core, Clock clock, BooleanSupplier hasValidLease) {
    this.core = core;
    this.clock = clock;
    this.hasValidLease = hasValidLease;
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
        nowNanos -> {
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
        nowNanos -> {
          active = true;
          core.formerOwnerStopped(stoppedNanos);
          return List.of();
        });
  }

  /** Stops admitting requests permanently and returns the hand-over for the next owner. */
  PoolHandOver release(long viewEpoch) {
    runEvent(
        nowNanos -> {
          active = false;
          return List.of();
        });
    synchronized (this) {
      return core.handOver(viewEpoch, requestIds::keyOf, clock.nanoTime());
    }
  }

  /**
   * Handles a change of members: orphans the requests of entries that have left. An upstream that
   * announces itself from now on may run requests of an owner that has left.
   */
  void membersChanged(Set<Long> sessions) {
    runEvent(
        nowNanos -> {
          if (active) {
            core.formerOwnerStopped(nowNanos);
          }
          List<PoolDecision> decisions = new ArrayList<>();
          for (long id : requestIds.idsOfOtherSessions(sessions)) {
            decisions.addAll(core.orphaned(id, nowNanos));
            waiters.remove(id);
            requestIds.remove(id);
          }
          return decisions;
        });
  }

  void restore(PoolHandOver handOver) {
    runEvent(
        nowNanos -> {
          handOverReceived = true;
          return core.restore(
              withoutReturnedTickets(handOver), requestIds::findOrCreateId, nowNanos);
        });
  }

  void applyRules(PoolRules rules) {
    runEvent(nowNanos -> core.applyRules(rules, nowNanos));
  }

  CompletableFuture<PoolResponse> submit(RequestKey requestKey, AdmissionRequest request) {
    CompletableFuture<PoolResponse> response = new CompletableFuture<>();
    runEvent(
        nowNanos -> {
          long id = requestIds.findOrCreateId(requestKey);
          waiters.put(id, new Waiter(response, nowNanos));
          if (recentlyCancelled.contains(requestKey)) {
            return List.of(new PoolDecision.Refused(id, RefusalReason.DEADLINE, Duration.ZERO));
          }
          return core.submit(id, request, nowNanos);
        });
    return response;
  }

  /** Cancels a request whose entry no longer needs the response or did not receive it. */
  void cancel(RequestKey requestKey) {
    runEvent(
        nowNanos -> {
          Optional<Long> id = requestIds.find(requestKey);
          recentlyCancelled.add(requestKey);
          id.ifPresent(waiters::remove);
          id.ifPresent(requestIds::remove);
          return id.map(each -> core.cancel(each, nowNanos)).orElse(List.of());
        });
  }

  void returnTicket(long ticketId, RequestKey requestKey, TicketOutcome outcome) {
    runEvent(
        nowNanos -> {
          recentlyReturned.add(ticketId);
          requestIds.find(requestKey).ifPresent(requestIds::remove);
          return core.returnTicket(ticketId, outcome, nowNanos);
        });
  }

  /** Handles an announcement; returns false if the pool has no slot for the upstream. */
  boolean announced(Announcement announcement) {
    runEvent(nowNanos -> core.announced(announcement, nowNanos));
    return hasUpstream(announcement.upstream(), announcement.bootId());
  }

  synchronized boolean hasUpstream(String upstream, String bootId) {
    return core.hasUpstream(upstream, bootId);
  }

  void reported(Report report) {
    runEvent(nowNanos -> core.reported(report, nowNanos));
  }

  synchronized void cacheChanged(CacheEvents events) {
    core.cacheChanged(events);
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
        handOver.pool(),
        handOver.epoch(),
        handOver.upstreams(),
        outstanding,
        handOver.outputLengths());
  }

  private void runEvent(Function<Long, List<PoolDecision>> event) {
    List<Completion> completions = new ArrayList<>();
    synchronized (this) {
      long nowNanos = clock.nanoTime();
      addCompletions(updateAdmitting(nowNanos), nowNanos, completions);
      addCompletions(event.apply(nowNanos), nowNanos, completions);
      addCompletions(updateAdmitting(nowNanos), nowNanos, completions);
    }
    completions.forEach(each -> each.future().complete(each.response()));
  }

  private List<PoolDecision> updateAdmitting(long nowNanos) {
    boolean mayAdmit = active && hasValidLease.getAsBoolean();
    if (mayAdmit == admitting) {
      return List.of();
    }
    admitting = mayAdmit;
    return core.setAdmitting(mayAdmit, nowNanos);
  }

  private void addCompletions(
      List<PoolDecision> decisions, long nowNanos, List<Completion> completions) {
    for (PoolDecision each : decisions) {
      Waiter waiter = waiters.remove(each.requestId());
      if (each instanceof PoolDecision.Refused) {
        requestIds.remove(each.requestId());
      }
      if (waiter != null) {
        PoolResponse response = new PoolResponse(each, nowNanos - waiter.arrivedNanos());
        completions.add(new Completion(waiter.response(), response));
      }
    }
  }
}
