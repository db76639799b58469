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
 * Brings tickets back to the owners of their pools, again until one has taken them, so that no lost
 * message leaks capacity. What can't be brought back in time is settled by reports.
 */
final class TicketReturns {
  /** Stands for the ticket of a call whose answer was lost. */
  static final long UNKNOWN_TICKET = 0;

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final long RETRY_NANOS = Duration.ofMillis(200).toNanos();
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

  private final Membership membership;
  private final PoolOwner owner;
  private final PoolCalls calls;
  private final Clock clock;
  private final Set<Parcel> parcels = ConcurrentHashMap.newKeySet();

  private static final class Parcel {
    private final PoolKey pool;
    private final Requester holder;
    private final long ticketId;
    private final TicketOutcome outcome;
    private final long madeNanos;
    private volatile long sentNanos;
    private volatile boolean underWay;

    private Parcel(
        PoolKey pool, Requester holder, long ticketId, TicketOutcome outcome, long nowNanos) {
      this.pool = pool;
      this.holder = holder;
      this.ticketId = ticketId;
      this.outcome = outcome;
      this.madeNanos = nowNanos;
      this.sentNanos = nowNanos - RETRY_NANOS;
    }
  }

  TicketReturns(Membership membership, PoolOwner owner, PoolCalls calls, Clock clock) {
    this.membership = membership;
    this.owner = owner;
    this.calls = calls;
    this.clock = clock;
  }

  /** Gives a ticket back. */
  void giveBack(PoolKey pool, Requester holder, long ticketId, TicketOutcome outcome) {
    Parcel parcel = new Parcel(pool, holder, ticketId, outcome, clock.nanoTime());
    parcels.add(parcel);
    post(parcel, clock.nanoTime());
  }

  /** Gives back whatever a request was or will be granted. */
  void cancel(PoolKey pool, Requester holder) {
    TicketOutcome unused = new TicketOutcome(TicketOutcome.Result.NOT_SENT, 0, Duration.ZERO);
    giveBack(pool, holder, UNKNOWN_TICKET, unused);
  }

  int underWay() {
    return parcels.size();
  }

  /** Sends what is due again. */
  void tick() {
    long now = clock.nanoTime();
    parcels.removeIf(each -> now - each.madeNanos > MAX_AGE_NANOS);
    for (Parcel each : parcels) {
      if (!each.underWay && now - each.sentNanos >= RETRY_NANOS) {
        post(each, now);
      }
    }
  }

  /** Takes a ticket back at the owner. */
  static void take(OwnedPool pool, Requester holder, long ticketId, TicketOutcome outcome) {
    if (ticketId == UNKNOWN_TICKET) {
      pool.cancel(holder);
    } else {
      pool.finished(ticketId, holder, outcome);
    }
  }

  private void post(Parcel parcel, long now) {
    parcel.sentNanos = now;
    Optional<OwnedPool> own = owner.owned(parcel.pool);
    if (own.isPresent()) {
      take(own.get(), parcel.holder, parcel.ticketId, parcel.outcome);
      parcels.remove(parcel);
      return;
    }
    Optional<EntryMember> member = PoolOwnership.ownerOf(parcel.pool, membership.view());
    if (member.isEmpty() || member.get().sessionId() == membership.sessionId()) {
      return;
    }
    parcel.underWay = true;
    byte[] payload =
        PoolMessages.returnCall(parcel.pool, parcel.holder, parcel.ticketId, parcel.outcome)
            .toByteArray();
    calls
        .call(member.get().wireAddress(), Method.RETURN_TICKET, payload, CALL_TIMEOUT)
        .thenAccept(answer -> answered(parcel, answer));
  }

  private void answered(Parcel parcel, Either<WireFailure, byte[]> answer) {
    parcel.underWay = false;
    if (answer.isRight() && isTaken(answer.get())) {
      parcels.remove(parcel);
    }
  }

  private static boolean isTaken(byte[] payload) {
    try {
      return ReturnAnswer.parseFrom(payload).getOwner();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }
}
