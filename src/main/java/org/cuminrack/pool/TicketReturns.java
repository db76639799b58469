package org.cuminrack.pool;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.generated.pool.ReturnAnswer;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/**
 * Returns tickets to the owners of their pools and retries until an owner has accepted them, so
 * that no lost message leaks capacity. Returns that are not accepted in time are dropped. A new
 * owner without the former owner's hand-over counts the running requests from reports.
 */
final class TicketReturns {
  /** Placeholder id for the ticket of a call whose response was lost. */
  static final long UNKNOWN_TICKET_ID = 0;

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final long RETRY_NANOS = Duration.ofMillis(200).toNanos();
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

  private final Membership membership;
  private final PoolOwner owner;
  private final PoolCalls calls;
  private final Clock clock;
  private final Set<PendingReturn> pendingReturns = ConcurrentHashMap.newKeySet();

  private static final class PendingReturn {
    private final PoolKey pool;
    private final RequestKey requestKey;
    private final long ticketId;
    private final TicketOutcome outcome;
    private final long createdNanos;
    private volatile long sentNanos;
    private volatile boolean inFlight;

    private PendingReturn(
        PoolKey pool, RequestKey requestKey, long ticketId, TicketOutcome outcome, long nowNanos) {
      this.pool = pool;
      this.requestKey = requestKey;
      this.ticketId = ticketId;
      this.outcome = outcome;
      this.createdNanos = nowNanos;
      this.sentNanos = nowNanos - RETRY_NANOS;
    }
  }

  TicketReturns(Membership membership, PoolOwner owner, PoolCalls calls, Clock clock) {
    this.membership = membership;
    this.owner = owner;
    this.calls = calls;
    this.clock = clock;
  }

  void returnTicket(PoolKey pool, RequestKey requestKey, long ticketId, TicketOutcome outcome) {
    PendingReturn pending =
        new PendingReturn(pool, requestKey, ticketId, outcome, clock.nanoTime());
    pendingReturns.add(pending);
    trySend(pending, clock.nanoTime());
  }

  /** Returns any ticket that the request was or will be granted. */
  void cancel(PoolKey pool, RequestKey requestKey) {
    TicketOutcome notSent = new TicketOutcome(TicketOutcome.Result.NOT_SENT, 0, Duration.ZERO);
    returnTicket(pool, requestKey, UNKNOWN_TICKET_ID, notSent);
  }

  int pendingCount() {
    return pendingReturns.size();
  }

  /** Retries returns that are due and drops those too old. */
  void tick() {
    long nowNanos = clock.nanoTime();
    pendingReturns.removeIf(each -> nowNanos - each.createdNanos > MAX_AGE_NANOS);
    for (PendingReturn each : pendingReturns) {
      if (!each.inFlight && nowNanos - each.sentNanos >= RETRY_NANOS) {
        trySend(each, nowNanos);
      }
    }
  }

  /** Applies a returned ticket to the owner's pool. */
  static void applyReturn(
      OwnedPool pool, RequestKey requestKey, long ticketId, TicketOutcome outcome) {
    if (ticketId == UNKNOWN_TICKET_ID) {
      pool.cancel(requestKey);
    } else {
      pool.returnTicket(ticketId, requestKey, outcome);
    }
  }

  private void trySend(PendingReturn pending, long nowNanos) {
    pending.sentNanos = nowNanos;
    Optional<OwnedPool> ownPool = owner.ownedPool(pending.pool);
    if (ownPool.isPresent()) {
      applyReturn(ownPool.get(), pending.requestKey, pending.ticketId, pending.outcome);
      pendingReturns.remove(pending);
      return;
    }
    Optional<EntryMember> member = PoolOwnership.ownerOf(pending.pool, membership.view());
    if (member.isEmpty() || member.get().sessionId() == membership.sessionId()) {
      return;
    }
    pending.inFlight = true;
    byte[] payload =
        PoolMessages.returnCall(pending.pool, pending.requestKey, pending.ticketId, pending.outcome)
            .toByteArray();
    calls
        .call(member.get().wireAddress(), Method.RETURN_TICKET, payload, CALL_TIMEOUT)
        .thenAccept(response -> responseReceived(pending, response));
  }

  private void responseReceived(PendingReturn pending, Either<WireFailure, byte[]> response) {
    pending.inFlight = false;
    if (response.isRight() && isAccepted(response.get())) {
      pendingReturns.remove(pending);
    }
  }

  private static boolean isAccepted(byte[] payload) {
    try {
      return ReturnAnswer.parseFrom(payload).getOwner();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }
}
