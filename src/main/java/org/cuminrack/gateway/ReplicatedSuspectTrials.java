package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.TrialRequest;
import org.cuminrack.generated.control.TrialResult;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlCalls;
import org.cuminrack.member.ControlFailure;
import org.cuminrack.wire.Method;

/** Trials that control's replicated state grants, one at a time for all gateways. */
public final class ReplicatedSuspectTrials implements SuspectTrials {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A request that waits for a trial is refused after this time. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private static final Duration GIVE_BACK_TIMEOUT = Duration.ofSeconds(5);

  private final ControlCalls calls;

  public ReplicatedSuspectTrials(ControlCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Outcome> request(SuspectTrial trial) {
    return calls
        .call(Method.TRY_SUSPECT, message(trial).build().toByteArray(), TIMEOUT)
        .thenApply(ReplicatedSuspectTrials::outcome);
  }

  @Override
  public void giveBack(SuspectTrial trial) {
    TrialRequest request = message(trial).setGivenBack(true).build();
    calls
        .call(Method.TRY_SUSPECT, request.toByteArray(), GIVE_BACK_TIMEOUT)
        .thenAccept(reply -> reply.peekLeft(ReplicatedSuspectTrials::logNotGivenBack));
  }

  private static TrialRequest.Builder message(SuspectTrial trial) {
    return TrialRequest.newBuilder()
        .setTrialId(trial.id())
        .setFingerprint(trial.suspects().get(0).hex())
        .addAllOthers(trial.suspects().stream().skip(1).map(Fingerprint::hex).toList());
  }

  private static void logNotGivenBack(ControlFailure failure) {
    logger.atWarning().log(
        "%s", LogEvent.named("suspect-trial-not-given-back").with("detail", failure.detail()));
  }

  private static Outcome outcome(Either<ControlFailure, byte[]> reply) {
    if (reply.isLeft()) {
      return new Unavailable(reply.getLeft().detail());
    }
    try {
      TrialResult result = TrialResult.parseFrom(reply.get());
      return result.getGranted()
          ? new Granted()
          : new Denied(Duration.ofMillis(result.getWaitMillis()));
    } catch (InvalidProtocolBufferException e) {
      return new Unavailable("unreadable reply: " + e.getMessage());
    }
  }
}
