package org.cuminrack.pool;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.generated.pool.AdmitAnswer;
import org.cuminrack.generated.pool.Refusal;
import org.cuminrack.generated.pool.TicketGrant;
import org.cuminrack.wire.WireFailure;

/** Admits one request: asks pools for a ticket, one after the other, until one grants it. */
final class AdmissionTask {
  private static final int MAX_ASKED_POOLS = 3;
  private static final int MAX_OVERLOADED_POOLS = 2;
  private static final Duration MAX_CALL_TIMEOUT = Duration.ofMillis(2500);

  private final AdmissionContext context;
  private final AdmissionRequest request;
  private final CompletableFuture<AdmissionOutcome> result = new CompletableFuture<>();
  private final List<PoolKey> askedPools = new ArrayList<>();
  private final long startedNanos;
  private int overloadedPools;
  private volatile PendingCall pendingCall;

  /** An unanswered call: the pool that was asked and the key of the request. */
  private record PendingCall(PoolKey pool, RequestKey requestKey) {}

  AdmissionTask(AdmissionContext context, AdmissionRequest request) {
    this.context = context;
    this.request = request;
    this.startedNanos = context.clock().nanoTime();
  }

  CompletableFuture<AdmissionOutcome> start() {
    result.whenComplete((outcome, failure) -> cancelPendingCall());
    askNextPool(
        new AdmissionOutcome.Refused(RefusalReason.NO_UPSTREAM, PoolLimits.REPORT_INTERVAL));
    return result;
  }

  private void cancelPendingCall() {
    PendingCall pending = pendingCall;
    if (result.isCancelled() && pending != null) {
      context.ticketReturns().cancel(pending.pool(), pending.requestKey());
    }
  }

  /** Asks the next pool; completes with the last refusal if no pool or time is left. */
  private void askNextPool(AdmissionOutcome.Refused lastRefusal) {
    if (result.isDone()) {
      return;
    }
    if (!context.membership().hasValidLease()) {
      complete(new AdmissionOutcome.Refused(RefusalReason.NO_LEASE, PoolLimits.REPORT_INTERVAL));
      return;
    }
    Optional<PoolKey> pool = nextPool(lastRefusal);
    if (pool.isEmpty()) {
      complete(lastRefusal);
      return;
    }
    askedPools.add(pool.get());
    askPool(pool.get());
  }

  private Optional<PoolKey> nextPool(AdmissionOutcome.Refused lastRefusal) {
    boolean limitReached =
        askedPools.size() >= MAX_ASKED_POOLS || overloadedPools >= MAX_OVERLOADED_POOLS;
    if (limitReached || isFinal(lastRefusal) || remainingTime().isNegative()) {
      return Optional.empty();
    }
    List<PoolSummary> candidates =
        context
            .summaries()
            .candidates(request.service(), context.membership().view(), context.clock().nanoTime());
    List<PoolSummary> untried =
        candidates.stream().filter(each -> !askedPools.contains(each.pool())).toList();
    return context.selector().choose(untried);
  }

  /** Returns whether no other pool is asked after this refusal. */
  private boolean isFinal(AdmissionOutcome.Refused lastRefusal) {
    return switch (lastRefusal.reason()) {
      case OVERLOADED, NO_UPSTREAM, OWNER_MOVING, NO_LEASE, STOPPING -> false;
      case ORGANISATION_LIMIT, DEADLINE, RETRY_BUDGET, POISON -> true;
    };
  }

  private void askPool(PoolKey pool) {
    RequestKey requestKey = context.nextRequestKey();
    pendingCall = new PendingCall(pool, requestKey);
    context.summaries().recordSent(pool);
    Optional<OwnedPool> ownPool = context.owner().ownedPool(pool);
    if (ownPool.isPresent()) {
      submitLocally(ownPool.get(), requestKey);
    } else {
      callOwner(pool, requestKey);
    }
  }

  private void submitLocally(OwnedPool pool, RequestKey requestKey) {
    pool.submit(requestKey, request)
        .thenAccept(
            response -> {
              context.summaries().put(pool.summary(), context.clock().nanoTime());
              if (response.decision() instanceof PoolDecision.Admitted admitted) {
                granted(pool.key(), requestKey, admitted.ticket());
              } else if (response.decision() instanceof PoolDecision.Refused refused) {
                refused(new AdmissionOutcome.Refused(refused.reason(), refused.retryAfter()));
              }
            });
  }

  private void callOwner(PoolKey pool, RequestKey requestKey) {
    Duration timeout =
        remainingTime().compareTo(MAX_CALL_TIMEOUT) < 0 ? remainingTime() : MAX_CALL_TIMEOUT;
    long sentNanos = context.clock().nanoTime();
    context
        .requestTicket(pool, requestKey, request, timeout)
        .thenAccept(response -> responseReceived(pool, requestKey, sentNanos, response));
  }

  private void responseReceived(
      PoolKey pool, RequestKey requestKey, long sentNanos, Either<WireFailure, byte[]> response) {
    if (response.isLeft()) {
      boolean mayHaveArrived = !(response.getLeft() instanceof WireFailure.Unreachable);
      if (mayHaveArrived) {
        context.ticketReturns().cancel(pool, requestKey);
      }
      refused(ownerMoving());
      return;
    }
    try {
      AdmitAnswer message = AdmitAnswer.parseFrom(response.get());
      if (message.hasDigest()) {
        PoolSummary summary = PoolMessages.summary(message.getDigest());
        context.summaries().put(summary, context.clock().nanoTime());
      }
      if (message.hasGranted()) {
        granted(pool, requestKey, ticket(pool, message.getGranted(), sentNanos));
      } else {
        refused(refusal(message.getRefused()));
      }
    } catch (InvalidProtocolBufferException e) {
      context.ticketReturns().cancel(pool, requestKey);
      refused(ownerMoving());
    }
  }

  private void granted(PoolKey pool, RequestKey requestKey, Ticket ticket) {
    pendingCall = null;
    context.outstanding().put(ticket, requestKey);
    if (!result.complete(new AdmissionOutcome.Admitted(ticket))) {
      context.outstanding().remove(ticket);
      context.ticketReturns().cancel(pool, requestKey);
    }
  }

  private void refused(AdmissionOutcome.Refused refusal) {
    pendingCall = null;
    overloadedPools += refusal.reason() == RefusalReason.OVERLOADED ? 1 : 0;
    askNextPool(refusal);
  }

  private void complete(AdmissionOutcome outcome) {
    result.complete(outcome);
  }

  private Duration remainingTime() {
    return request.timeout().minusNanos(context.clock().nanoTime() - startedNanos);
  }

  private static AdmissionOutcome.Refused ownerMoving() {
    return new AdmissionOutcome.Refused(RefusalReason.OWNER_MOVING, PoolLimits.REPORT_INTERVAL);
  }

  private static AdmissionOutcome.Refused refusal(Refusal message) {
    return new AdmissionOutcome.Refused(
        RefusalReason.valueOf(message.getReason()),
        Duration.ofMillis(message.getRetryAfterMillis()));
  }

  /**
   * Returns a ticket whose dispatch deadline is counted from the time at which the call was sent,
   * so that it is never later than the owner's.
   */
  private static Ticket ticket(PoolKey pool, TicketGrant grant, long sentNanos) {
    return new Ticket(
        grant.getTicket(),
        pool.name(),
        grant.getEpoch(),
        grant.getUpstream(),
        grant.getBootId(),
        grant.getAddress(),
        sentNanos + PoolHandlers.dispatchWithin(grant).toNanos(),
        grant.getAlone());
  }
}
