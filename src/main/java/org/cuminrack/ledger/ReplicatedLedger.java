package org.cuminrack.ledger;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.generated.control.AnswerData;
import org.cuminrack.generated.control.CallKeyData;
import org.cuminrack.generated.control.ClaimReply;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.FinishReply;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.FinishResult;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.ControlCalls;
import org.cuminrack.member.ControlFailure;
import org.cuminrack.member.Membership;
import org.cuminrack.wire.Method;

/**
 * The ledger that control keeps. A claim carries a token, so that a resend of it to another control
 * VM gets the same verdict; a claim whose answer was lost is not used, and its token is given back
 * so that the caller can claim anew.
 */
public final class ReplicatedLedger implements Ledger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** When to come back for a call that is in progress, or for a ledger that can't be reached. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** How long a caller of {@link #finish} waits. */
  private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(10);

  /** How long the end of a call, or a token given back, is sent after nobody waits for it. */
  private static final Duration BACKGROUND_TIMEOUT = Duration.ofMinutes(10);

  /** How many of those are on their way at one time. */
  private static final int MAX_IN_BACKGROUND = 1_000;

  private final ControlCalls calls;
  private final Membership membership;
  private final Semaphore background = new Semaphore(MAX_IN_BACKGROUND);

  public ReplicatedLedger(ControlCalls calls, Membership membership) {
    this.calls = calls;
    this.membership = membership;
  }

  @Override
  public CompletableFuture<ClaimVerdict> claim(
      CallKey key, Fingerprint fingerprint, Duration timeout) {
    long sessionId = membership.sessionId();
    if (sessionId == 0 || !membership.hasFreshLease()) {
      return CompletableFuture.completedFuture(unavailable());
    }
    ClaimRequest request =
        ClaimRequest.newBuilder()
            .setKey(data(key))
            .setFingerprint(fingerprint.hex())
            .setSessionId(sessionId)
            .setToken(UUID.randomUUID().toString())
            .build();
    return calls
        .call(Method.CLAIM_CALL, request.toByteArray(), timeout)
        .thenApply(outcome -> verdict(request, outcome));
  }

  @Override
  public CompletableFuture<Boolean> finish(CallKey key, long claimId, CallResult result) {
    FinishRequest.Builder request =
        FinishRequest.newBuilder().setKey(data(key)).setClaimId(claimId);
    if (result instanceof CallResult.Done done) {
      request.setResult(FinishResult.FINISH_DONE).setAnswer(data(done.answer()));
    } else if (result instanceof CallResult.NotRun) {
      request.setResult(FinishResult.FINISH_NOT_RUN);
    } else {
      request.setResult(FinishResult.FINISH_UNKNOWN);
    }
    byte[] payload = request.build().toByteArray();
    return calls
        .call(Method.FINISH_CALL, payload, FINISH_TIMEOUT)
        .thenApply(
            outcome -> {
              if (outcome.isLeft()) {
                sendInBackground("end-not-recorded", payload);
              }
              return outcome.fold(failure -> false, ReplicatedLedger::isRecorded);
            });
  }

  private ClaimVerdict verdict(ClaimRequest request, Either<ControlFailure, byte[]> outcome) {
    if (outcome.isRight()) {
      try {
        return verdict(ClaimReply.parseFrom(outcome.get()));
      } catch (InvalidProtocolBufferException e) {
        giveBack(request);
        return unavailable();
      }
    }
    if (outcome.getLeft() instanceof ControlFailure.Unknown) {
      giveBack(request);
    }
    return unavailable();
  }

  private static ClaimVerdict verdict(ClaimReply reply) {
    return switch (reply.getState()) {
      case GRANTED -> new ClaimVerdict.Granted(reply.getClaimId());
      case IN_PROGRESS -> new ClaimVerdict.InProgress(RETRY_AFTER);
      case DONE -> new ClaimVerdict.Done(answer(reply.getAnswer()));
      case UNKNOWN -> new ClaimVerdict.Unknown();
      case KEY_REUSED -> new ClaimVerdict.KeyReused();
      default -> unavailable();
    };
  }

  private void giveBack(ClaimRequest claim) {
    FinishRequest request =
        FinishRequest.newBuilder()
            .setKey(claim.getKey())
            .setToken(claim.getToken())
            .setResult(FinishResult.FINISH_NOT_RUN)
            .build();
    sendInBackground("claim-not-given-back", request.toByteArray());
  }

  // What still fails then is settled by the end of the session: the call is unknown.
  private void sendInBackground(String eventOfFailure, byte[] payload) {
    if (!background.tryAcquire()) {
      logger.atWarning().log("%s", LogEvent.named(eventOfFailure).with("detail", "too many"));
      return;
    }
    calls
        .call(Method.FINISH_CALL, payload, BACKGROUND_TIMEOUT)
        .whenComplete(
            (outcome, failure) -> {
              background.release();
              if (failure != null || outcome.isLeft()) {
                logger.atWarning().log("%s", LogEvent.named(eventOfFailure));
              }
            });
  }

  private static boolean isRecorded(byte[] reply) {
    try {
      return FinishReply.parseFrom(reply).getRecorded();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  private static ClaimVerdict unavailable() {
    return new ClaimVerdict.Unavailable(RETRY_AFTER);
  }

  private static CallKeyData data(CallKey key) {
    return CallKeyData.newBuilder()
        .setOrganisation(key.organisation())
        .setRoute(key.route())
        .setIdempotencyKey(key.idempotencyKey())
        .build();
  }

  private static AnswerData data(StoredAnswer answer) {
    return AnswerData.newBuilder()
        .setHttpStatus(answer.httpStatus())
        .setContentType(answer.contentType())
        .setBody(answer.body())
        .build();
  }

  private static StoredAnswer answer(AnswerData data) {
    return new StoredAnswer(data.getHttpStatus(), data.getContentType(), data.getBody());
  }
}
