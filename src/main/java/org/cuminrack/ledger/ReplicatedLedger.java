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
 * A client of the ledger on the control VMs. A claim carries a token, so that resending it to
 * another control VM returns the same result. A claim whose reply was lost is not used; it is
 * released by its token, so that the caller can claim the call again.
 */
public final class ReplicatedLedger implements Ledger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The retry delay for a call in progress or an unavailable ledger. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** The maximum wait of a caller of {@link #finish}. */
  private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(10);

  /**
   * The timeout of background requests, which record results and release claims after the caller
   * stopped waiting.
   */
  private static final Duration BACKGROUND_TIMEOUT = Duration.ofMinutes(10);

  private static final int MAX_BACKGROUND_REQUESTS = 1_000;

  private final ControlCalls calls;
  private final Membership membership;
  private final Semaphore backgroundPermits = new Semaphore(MAX_BACKGROUND_REQUESTS);

  public ReplicatedLedger(ControlCalls calls, Membership membership) {
    this.calls = calls;
    this.membership = membership;
  }

  @Override
  public CompletableFuture<ClaimVerdict> claim(
      CallKey key, Fingerprint fingerprint, Duration timeout) {
    long sessionId = membership.sessionId();
    if (sessionId == 0 || !membership.hasValidLease()) {
      return CompletableFuture.completedFuture(unavailable());
    }
    ClaimRequest request =
        ClaimRequest.newBuilder()
            .setKey(toData(key))
            .setFingerprint(fingerprint.hex())
            .setSessionId(sessionId)
            .setToken(UUID.randomUUID().toString())
            .build();
    return calls
        .call(Method.CLAIM_CALL, request.toByteArray(), timeout)
        .thenApply(outcome -> verdictOrReleaseClaim(request, outcome));
  }

  @Override
  public CompletableFuture<Boolean> finish(CallKey key, long claimId, CallResult result) {
    FinishRequest.Builder request =
        FinishRequest.newBuilder().setKey(toData(key)).setClaimId(claimId);
    if (result instanceof CallResult.Done done) {
      request.setResult(FinishResult.FINISH_DONE).setAnswer(toData(done.response()));
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

  private ClaimVerdict verdictOrReleaseClaim(
      ClaimRequest request, Either<ControlFailure, byte[]> outcome) {
    if (outcome.isRight()) {
      try {
        return toVerdict(ClaimReply.parseFrom(outcome.get()));
      } catch (InvalidProtocolBufferException e) {
        releaseClaim(request);
        return unavailable();
      }
    }
    if (outcome.getLeft() instanceof ControlFailure.Unknown) {
      releaseClaim(request);
    }
    return unavailable();
  }

  private static ClaimVerdict toVerdict(ClaimReply reply) {
    return switch (reply.getState()) {
      case GRANTED -> new ClaimVerdict.Granted(reply.getClaimId());
      case IN_PROGRESS -> new ClaimVerdict.InProgress(RETRY_AFTER);
      case DONE -> new ClaimVerdict.Done(toResponse(reply.getAnswer()));
      case UNKNOWN -> new ClaimVerdict.Unknown();
      case KEY_REUSED -> new ClaimVerdict.KeyReused();
      default -> unavailable();
    };
  }

  private void releaseClaim(ClaimRequest claim) {
    FinishRequest request =
        FinishRequest.newBuilder()
            .setKey(claim.getKey())
            .setToken(claim.getToken())
            .setResult(FinishResult.FINISH_NOT_RUN)
            .build();
    sendInBackground("claim-not-given-back", request.toByteArray());
  }

  // If the request fails, the call ends as unknown when the session ends.
  private void sendInBackground(String failureEvent, byte[] payload) {
    if (!backgroundPermits.tryAcquire()) {
      logger.atWarning().log(
          "%s", LogEvent.named(failureEvent).with("detail", "too many background requests"));
      return;
    }
    calls
        .call(Method.FINISH_CALL, payload, BACKGROUND_TIMEOUT)
        .whenComplete(
            (outcome, failure) -> {
              backgroundPermits.release();
              if (failure != null || outcome.isLeft()) {
                logger.atWarning().log("%s", LogEvent.named(failureEvent));
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

  private static CallKeyData toData(CallKey key) {
    return CallKeyData.newBuilder()
        .setOrganisation(key.organisation())
        .setRoute(key.route())
        .setIdempotencyKey(key.idempotencyKey())
        .build();
  }

  private static AnswerData toData(StoredResponse response) {
    return AnswerData.newBuilder()
        .setHttpStatus(response.httpStatus())
        .setContentType(response.contentType())
        .setBody(response.body())
        .build();
  }

  private static StoredResponse toResponse(AnswerData data) {
    return new StoredResponse(data.getHttpStatus(), data.getContentType(), data.getBody());
  }
}
