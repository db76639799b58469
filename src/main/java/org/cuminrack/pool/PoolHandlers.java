package org.cuminrack.pool;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.generated.pool.AdmitAnswer;
import org.cuminrack.generated.pool.AdmitCall;
import org.cuminrack.generated.pool.AnnouncementAnswer;
import org.cuminrack.generated.pool.AnnouncementCall;
import org.cuminrack.generated.pool.DigestsAnswer;
import org.cuminrack.generated.pool.DigestsCall;
import org.cuminrack.generated.pool.HandOverAnswer;
import org.cuminrack.generated.pool.HandOverCall;
import org.cuminrack.generated.pool.PoolId;
import org.cuminrack.generated.pool.ReturnAnswer;
import org.cuminrack.generated.pool.ReturnCall;
import org.cuminrack.generated.pool.TicketGrant;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireHandler;

/** Handles calls from other entries to the pools that this entry owns. */
final class PoolHandlers {
  private final PoolOwner owner;

  PoolHandlers(PoolOwner owner) {
    this.owner = owner;
  }

  /** Returns the handler of each method. */
  Map<Method, WireHandler> byMethod() {
    return Map.of(
        Method.ADMIT, this::admit,
        Method.RETURN_TICKET, payload -> completed(() -> returnTicket(payload)),
        Method.HAND_OVER, payload -> completed(() -> handOver(payload)),
        Method.POOL_DIGESTS, payload -> completed(() -> summaries(payload)),
        Method.FORWARD_ANNOUNCEMENT, payload -> completed(() -> announced(payload)));
  }

  private interface PayloadSupplier {
    byte[] get() throws InvalidProtocolBufferException;
  }

  private static CompletableFuture<byte[]> completed(PayloadSupplier payload) {
    try {
      return CompletableFuture.completedFuture(payload.get());
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<byte[]> admit(byte[] payload) {
    AdmitCall call;
    try {
      call = AdmitCall.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
    Optional<OwnedPool> pool = owner.ownedPool(PoolMessages.key(call.getPool()));
    if (pool.isEmpty()) {
      return CompletableFuture.completedFuture(notOwner());
    }
    RequestKey requestKey = new RequestKey(call.getSession(), call.getRequest());
    return pool.get()
        .submit(requestKey, PoolMessages.request(call))
        .thenApply(response -> admitResponse(response, pool.get()));
  }

  private static byte[] notOwner() {
    return AdmitAnswer.newBuilder()
        .setRefused(PoolMessages.refusal(RefusalReason.OWNER_MOVING, PoolLimits.REPORT_INTERVAL))
        .build()
        .toByteArray();
  }

  private static byte[] admitResponse(PoolResponse response, OwnedPool pool) {
    AdmitAnswer.Builder message = AdmitAnswer.newBuilder();
    message.setDigest(PoolMessages.message(pool.summary()));
    if (response.decision() instanceof PoolDecision.Admitted admitted) {
      message.setGranted(grant(admitted.ticket(), response.waitedNanos()));
    } else if (response.decision() instanceof PoolDecision.Refused refused) {
      message.setRefused(PoolMessages.refusal(refused.reason(), refused.retryAfter()));
    }
    return message.build().toByteArray();
  }

  private static TicketGrant grant(Ticket ticket, long waitedNanos) {
    return TicketGrant.newBuilder()
        .setTicket(ticket.id())
        .setEpoch(ticket.epoch())
        .setUpstream(ticket.upstream())
        .setBootId(ticket.bootId())
        .setAddress(ticket.address())
        .setWaitedNanos(waitedNanos)
        .setDispatchWithinMillis((int) PoolLimits.DISPATCH_TIMEOUT.toMillis())
        .setAlone(ticket.exclusive())
        .build();
  }

  private byte[] returnTicket(byte[] payload) throws InvalidProtocolBufferException {
    ReturnCall call = ReturnCall.parseFrom(payload);
    Optional<OwnedPool> pool = owner.ownedPool(PoolMessages.key(call.getPool()));
    RequestKey requestKey = new RequestKey(call.getSession(), call.getRequest());
    pool.ifPresent(
        each ->
            TicketReturns.applyReturn(
                each, requestKey, call.getTicket(), PoolMessages.outcome(call)));
    return ReturnAnswer.newBuilder().setOwner(pool.isPresent()).build().toByteArray();
  }

  private byte[] handOver(byte[] payload) throws InvalidProtocolBufferException {
    HandOverCall call = HandOverCall.parseFrom(payload);
    Optional<OwnedPool> pool = owner.ownedPool(PoolMessages.key(call.getPool()));
    pool.ifPresent(each -> each.restore(HandOverMessages.handOver(call)));
    return HandOverAnswer.newBuilder().setTaken(pool.isPresent()).build().toByteArray();
  }

  private byte[] summaries(byte[] payload) throws InvalidProtocolBufferException {
    DigestsAnswer.Builder response = DigestsAnswer.newBuilder();
    for (PoolId each : DigestsCall.parseFrom(payload).getPoolsList()) {
      owner
          .ownedPool(PoolMessages.key(each))
          .ifPresent(pool -> response.addDigests(PoolMessages.message(pool.summary())));
    }
    return response.build().toByteArray();
  }

  private byte[] announced(byte[] payload) throws InvalidProtocolBufferException {
    AnnouncementCall call = AnnouncementCall.parseFrom(payload);
    Announcement announcement = PoolMessages.announcement(call.getAnnouncement());
    boolean accepted =
        owner
            .ownedPool(PoolMessages.key(call.getPool()))
            .map(each -> each.announced(announcement))
            .orElse(false);
    return AnnouncementAnswer.newBuilder().setTaken(accepted).build().toByteArray();
  }

  /** Returns the time from the call's arrival at the owner to the ticket's dispatch deadline. */
  static Duration dispatchWithin(TicketGrant grant) {
    return Duration.ofNanos(grant.getWaitedNanos()).plusMillis(grant.getDispatchWithinMillis());
  }
}
