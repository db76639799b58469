package org.cuminrack.pool;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminrack.admission.AdmissionRequest;
import org.cuminrack.admission.Ticket;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/** State shared by all admissions of an entry. Thread-safe, without a lock of its own. */
final class AdmissionContext {
  private final Membership membership;
  private final Clock clock;
  private final PoolCalls calls;
  private final PoolOwner owner;
  private final TicketReturns ticketReturns;
  private final PoolSelector selector;
  private final SummaryTable summaries = new SummaryTable();
  private final Map<Ticket, RequestKey> outstanding = new ConcurrentHashMap<>();
  private final AtomicLong lastRequestNumber = new AtomicLong();

  AdmissionContext(
      Membership membership,
      Clock clock,
      PoolCalls calls,
      PoolOwner owner,
      TicketReturns ticketReturns,
      PoolSelector selector) {
    this.membership = membership;
    this.clock = clock;
    this.calls = calls;
    this.owner = owner;
    this.ticketReturns = ticketReturns;
    this.selector = selector;
  }

  Membership membership() {
    return membership;
  }

  Clock clock() {
    return clock;
  }

  PoolOwner owner() {
    return owner;
  }

  TicketReturns ticketReturns() {
    return ticketReturns;
  }

  PoolSelector selector() {
    return selector;
  }

  SummaryTable summaries() {
    return summaries;
  }

  /** Returns the outstanding tickets with the key of the request that each was granted to. */
  Map<Ticket, RequestKey> outstanding() {
    return outstanding;
  }

  RequestKey nextRequestKey() {
    return new RequestKey(membership.sessionId(), lastRequestNumber.incrementAndGet());
  }

  /**
   * Requests a ticket from the owner of a pool; returns {@link WireFailure.Unreachable} if no other
   * entry owns it.
   */
  CompletableFuture<Either<WireFailure, byte[]>> requestTicket(
      PoolKey pool, RequestKey requestKey, AdmissionRequest request, Duration timeout) {
    Optional<EntryMember> member = PoolOwnership.ownerOf(pool, membership.view());
    if (member.isEmpty() || member.get().sessionId() == membership.sessionId()) {
      return CompletableFuture.completedFuture(
          Either.left(new WireFailure.Unreachable(pool.name(), "no owner")));
    }
    byte[] payload = PoolMessages.admitCall(pool, requestKey, request, timeout).toByteArray();
    return calls.call(member.get().wireAddress(), Method.ADMIT, payload, timeout);
  }
}
