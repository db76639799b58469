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

/** One request's way to a ticket: the pools it asks, one after the other. */
final class AdmissionJourney {
  private static final int MAX_POOLS = 3;
  private static final int MAX_OVERLOADED_POOLS = 2;
  private static final Duration MAX_CALL_TIMEOUT = Duration.ofMillis(2500);

  private final AdmissionContext context;
  private final AdmissionRequest request;
  private final CompletableFuture<AdmissionOutcome> result = new CompletableFuture<>();
  private final List<PoolKey> asked = new ArrayList<>();
  private final long startedNanos;
  private int overloaded;
  private volatile Asked underWay;

  /** A pool that was asked, and the number that the request has there. */
  private record Asked(PoolKey pool, Requester requester) {}

  AdmissionJourney(AdmissionContext context, AdmissionRequest request) {
    this.context = context;
    this.request = request;
    this.startedNanos = context.clock().nanoTime();
  }

  CompletableFuture<AdmissionOutcome> start() {
    result.whenComplete((outcome, failure) -> cancelIfCancelled());
    askNext(new AdmissionOutcome.Refused(RefusalReason.NO_UPSTREAM, PoolLimits.REPORT_INTERVAL));
    return result;
  }

  private void cancelIfCancelled() {
    Asked open = underWay;
    if (result.isCancelled() && open != null) {
      context.returns().cancel(open.pool(), open.requester());
    }
  }

  /** Asks another pool; ends with the last refusal where there is none, or no time. */
  private void askNext(AdmissionOutcome.Refused last) {
    if (result.isDone()) {
      return;
    }
    if (!context.membership().hasFreshLease()) {
      complete(new AdmissionOutcome.Refused(RefusalReason.NO_LEASE, PoolLimits.REPORT_INTERVAL));
      return;
    }
    Optional<PoolKey> pool = nextPool(last);
    if (pool.isEmpty()) {
      complete(last);
      return;
    }
    asked.add(pool.get());
    ask(pool.get());
  }

  private Optional<PoolKey> nextPool(AdmissionOutcome.Refused last) {
    boolean enough = asked.size() >= MAX_POOLS || overloaded >= MAX_OVERLOADED_POOLS;
    if (enough || isFinal(last) || remaining().isNegative()) {
      return Optional.empty();
    }
    List<PoolDigest> candidates =
        context
            .digests()
            .candidates(request.service(), context.membership().view(), context.clock().nanoTime());
    List<PoolDigest> fresh =
        candidates.stream().filter(each -> !asked.contains(each.pool())).toList();
    return context.selector().choose(fresh);
  }

  private boolean isFinal(AdmissionOutcome.Refused last) {
    return switch (last.reason()) {
      case OVERLOADED, NO_UPSTREAM, OWNER_MOVING, NO_LEASE, STOPPING -> false;
      case ORGANISATION_LIMIT, DEADLINE, RETRY_BUDGET, POISON -> true;
    };
  }

  private void ask(PoolKey pool) {
    Requester requester = context.nextRequester();
    underWay = new Asked(pool, requester);
    context.digests().sentTo(pool);
    Optional<OwnedPool> own = context.owner().owned(pool);
    if (own.isPresent()) {
      askHere(own.get(), requester);
    } else {
      askOwner(pool, requester);
    }
  }

  private void askHere(OwnedPool pool, Requester requester) {
    pool.submit(requester, request)
        .thenAccept(
            answer -> {
              context.digests().put(pool.digest(), context.clock().nanoTime());
              if (answer.decision() instanceof PoolDecision.Admitted admitted) {
                granted(pool.key(), requester, admitted.ticket());
              } else if (answer.decision() instanceof PoolDecision.Refused refused) {
                refused(new AdmissionOutcome.Refused(refused.reason(), refused.retryAfter()));
              }
            });
  }

  private void askOwner(PoolKey pool, Requester requester) {
    Duration timeout = remaining().compareTo(MAX_CALL_TIMEOUT) < 0 ? remaining() : MAX_CALL_TIMEOUT;
    long sentNanos = context.clock().nanoTime();
    context
        .admit(pool, requester, request, timeout)
        .thenAccept(answer -> answered(pool, requester, sentNanos, answer));
  }

  private void answered(
      PoolKey pool, Requester requester, long sentNanos, Either<WireFailure, byte[]> answer) {
    if (answer.isLeft()) {
      boolean maybeSent = !(answer.getLeft() instanceof WireFailure.Unreachable);
      if (maybeSent) {
        context.returns().cancel(pool, requester);
      }
      refused(moving());
      return;
    }
    try {
      AdmitAnswer message = AdmitAnswer.parseFrom(answer.get());
      if (message.hasDigest()) {
        PoolDigest digest = PoolMessages.digest(message.getDigest());
        context.digests().put(digest, context.clock().nanoTime());
      }
      if (message.hasGranted()) {
        granted(pool, requester, ticket(pool, message.getGranted(), sentNanos));
      } else {
        refused(refusal(message.getRefused()));
      }
    } catch (InvalidProtocolBufferException e) {
      context.returns().cancel(pool, requester);
      refused(moving());
    }
  }

  private void granted(PoolKey pool, Requester requester, Ticket ticket) {
    underWay = null;
    context.outstanding().put(ticket, requester);
    if (!result.complete(new AdmissionOutcome.Admitted(ticket))) {
      context.outstanding().remove(ticket);
      context.returns().cancel(pool, requester);
    }
  }

  private void refused(AdmissionOutcome.Refused refusal) {
    underWay = null;
    overloaded += refusal.reason() == RefusalReason.OVERLOADED ? 1 : 0;
    askNext(refusal);
  }

  private void complete(AdmissionOutcome outcome) {
    result.complete(outcome);
  }

  private Duration remaining() {
    return request.timeout().minusNanos(context.clock().nanoTime() - startedNanos);
  }

  private static AdmissionOutcome.Refused moving() {
    return new AdmissionOutcome.Refused(RefusalReason.OWNER_MOVING, PoolLimits.REPORT_INTERVAL);
  }

  private static AdmissionOutcome.Refused refusal(Refusal message) {
    return new AdmissionOutcome.Refused(
        RefusalReason.valueOf(message.getReason()),
        Duration.ofMillis(message.getRetryAfterMillis()));
  }

  /**
   * The right to send ends so long after the call was sent that the owner's count can't end first.
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
