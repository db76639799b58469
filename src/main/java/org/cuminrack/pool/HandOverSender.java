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

/** Sends hand-overs to the pools' next owners and retries until they are accepted or too old. */
final class HandOverSender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
  private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(10).toNanos();

  private final Membership membership;
  private final PoolCalls calls;
  private final Clock clock;
  private final Map<PoolKey, PendingHandOver> pendingHandOvers = new ConcurrentHashMap<>();

  private static final class PendingHandOver {
    private final PoolHandOver handOver;
    private final long createdNanos;
    private volatile long sentNanos;
    private volatile boolean inFlight;

    private PendingHandOver(PoolHandOver handOver, long nowNanos) {
      this.handOver = handOver;
      this.createdNanos = nowNanos;
      this.sentNanos = nowNanos - RETRY_NANOS;
    }
  }

  HandOverSender(Membership membership, PoolCalls calls, Clock clock) {
    this.membership = membership;
    this.calls = calls;
    this.clock = clock;
  }

  void send(PoolHandOver handOver) {
    pendingHandOvers.put(handOver.pool(), new PendingHandOver(handOver, clock.nanoTime()));
    tick();
  }

  boolean isIdle() {
    return pendingHandOvers.isEmpty();
  }

  /** Sends the hand-overs that are due and drops those too old. */
  void tick() {
    long nowNanos = clock.nanoTime();
    for (PendingHandOver each : pendingHandOvers.values()) {
      if (nowNanos - each.createdNanos > MAX_AGE_NANOS) {
        finish(each, "too-old");
      } else if (!each.inFlight && nowNanos - each.sentNanos >= RETRY_NANOS) {
        trySend(each, nowNanos);
      }
    }
  }

  private void trySend(PendingHandOver pending, long nowNanos) {
    Optional<EntryMember> owner = PoolOwnership.ownerOf(pending.handOver.pool(), membership.view());
    if (owner.isEmpty() || owner.get().sessionId() == membership.sessionId()) {
      return;
    }
    pending.inFlight = true;
    pending.sentNanos = nowNanos;
    byte[] payload = HandOverMessages.message(pending.handOver).toByteArray();
    calls
        .call(owner.get().wireAddress(), Method.HAND_OVER, payload, CALL_TIMEOUT)
        .thenAccept(response -> responseReceived(pending, response));
  }

  private void responseReceived(PendingHandOver pending, Either<WireFailure, byte[]> response) {
    pending.inFlight = false;
    if (response.isRight() && isAccepted(response.get())) {
      finish(pending, "taken");
    }
  }

  private void finish(PendingHandOver pending, String result) {
    if (pendingHandOvers.remove(pending.handOver.pool(), pending)) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("pool-handed-over")
              .with("pool", pending.handOver.pool().name())
              .with("tickets", pending.handOver.tickets().size())
              .with("result", result));
    }
  }

  private static boolean isAccepted(byte[] payload) {
    try {
      return HandOverAnswer.parseFrom(payload).getTaken();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }
}
