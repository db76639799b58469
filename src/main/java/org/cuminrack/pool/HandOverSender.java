package org.cuminrack.pool;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.generated.pool.HandOverAnswer;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.EntryMember;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/** Sends hand-overs to the pools' next owners, again until they are taken or too old to help. */
final class HandOverSender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
  private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(10).toNanos();

  private final Membership membership;
  private final PoolCalls calls;
  private final Clock clock;
  private final Map<PoolKey, Parcel> parcels = new ConcurrentHashMap<>();

  private static final class Parcel {
    private final PoolHandOver handOver;
    private final long madeNanos;
    private volatile long sentNanos;
    private volatile boolean underWay;

    private Parcel(PoolHandOver handOver, long nowNanos) {
      this.handOver = handOver;
      this.madeNanos = nowNanos;
      this.sentNanos = nowNanos - RETRY_NANOS;
    }
  }

  HandOverSender(Membership membership, PoolCalls calls, Clock clock) {
    this.membership = membership;
    this.calls = calls;
    this.clock = clock;
  }

  void send(PoolHandOver handOver) {
    parcels.put(handOver.pool(), new Parcel(handOver, clock.nanoTime()));
    tick();
  }

  boolean isIdle() {
    return parcels.isEmpty();
  }

  /** Sends what is due. */
  void tick() {
    long now = clock.nanoTime();
    for (Parcel each : parcels.values()) {
      if (now - each.madeNanos > MAX_AGE_NANOS) {
        done(each, "too-old");
      } else if (!each.underWay && now - each.sentNanos >= RETRY_NANOS) {
        post(each, now);
      }
    }
  }

  private void post(Parcel parcel, long now) {
    Optional<EntryMember> owner = PoolOwnership.ownerOf(parcel.handOver.pool(), membership.view());
    if (owner.isEmpty() || owner.get().sessionId() == membership.sessionId()) {
      return;
    }
    parcel.underWay = true;
    parcel.sentNanos = now;
    byte[] payload = HandOverMessages.message(parcel.handOver).toByteArray();
    calls
        .call(owner.get().wireAddress(), Method.HAND_OVER, payload, CALL_TIMEOUT)
        .thenAccept(answer -> answered(parcel, answer));
  }

  private void answered(Parcel parcel, Either<WireFailure, byte[]> answer) {
    parcel.underWay = false;
    if (answer.isRight() && isTaken(answer.get())) {
      done(parcel, "taken");
    }
  }

  private void done(Parcel parcel, String result) {
    if (parcels.remove(parcel.handOver.pool(), parcel)) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("pool-handed-over")
              .with("pool", parcel.handOver.pool().name())
              .with("tickets", parcel.handOver.tickets().size())
              .with("result", result));
    }
  }

  private static boolean isTaken(byte[] payload) {
    try {
      return HandOverAnswer.parseFrom(payload).getTaken();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }
}
