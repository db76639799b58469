package org.cuminrack.member;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.CloseSessionRequest;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.FetchRequest;
import org.cuminrack.generated.control.OpenSessionReply;
import org.cuminrack.generated.control.OpenSessionRequest;
import org.cuminrack.generated.control.RenewReply;
import org.cuminrack.generated.control.RenewRequest;
import org.cuminrack.wire.Method;

/** The calls of a session to control. A failed call returns an empty result. */
final class SessionCalls {
  /** How long control holds a long-poll fetch while there is no change. */
  private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(5);

  private static final Duration FETCH_TIMEOUT = LONG_POLL_WAIT.plusSeconds(1);
  private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(3);

  private final ControlCalls calls;
  private final EntryIdentity identity;

  SessionCalls(ControlCalls calls, EntryIdentity identity) {
    this.calls = calls;
    this.identity = identity;
  }

  /**
   * Opens a session; repeated calls with the same token return the same session.
   *
   * @param replacedSessionId the session that this one replaces; 0 if there is none
   */
  CompletableFuture<Optional<OpenSessionReply>> open(String token, long replacedSessionId) {
    OpenSessionRequest request =
        OpenSessionRequest.newBuilder()
            .setToken(token)
            .setName(identity.name())
            .setDataCentre(identity.dataCentre())
            .setHttpAddress(identity.httpAddress())
            .setWireAddress(identity.wireAddress())
            .setReplaces(replacedSessionId)
            .build();
    return call(Method.OPEN_SESSION, request, OPEN_TIMEOUT, OpenSessionReply.parser());
  }

  CompletableFuture<Optional<RenewReply>> renew(
      long sessionId, long acknowledgedRevision, Duration timeout) {
    RenewRequest request =
        RenewRequest.newBuilder()
            .setSessionId(sessionId)
            .setAcknowledgedRevision(acknowledgedRevision)
            .build();
    return call(Method.RENEW_SESSION, request, timeout, RenewReply.parser());
  }

  /** Fetches changes with a long poll for a newer revision or in-force revision. */
  CompletableFuture<Optional<FetchReply>> awaitChange(
      long sessionId, long afterRevision, long inForceRevision) {
    FetchRequest request =
        FetchRequest.newBuilder()
            .setSessionId(sessionId)
            .setAfterRevision(afterRevision)
            .setKnownInForceRevision(inForceRevision)
            .setWaitMillis((int) LONG_POLL_WAIT.toMillis())
            .build();
    return call(Method.FETCH_STATE, request, FETCH_TIMEOUT, FetchReply.parser());
  }

  /** Fetches changes without waiting. */
  CompletableFuture<Optional<FetchReply>> fetch(
      long sessionId, long afterRevision, Duration timeout) {
    FetchRequest request =
        FetchRequest.newBuilder().setSessionId(sessionId).setAfterRevision(afterRevision).build();
    return call(Method.FETCH_STATE, request, timeout, FetchReply.parser());
  }

  /** Ends a session, or only marks its entry as stopping; returns whether that is durable. */
  CompletableFuture<Boolean> close(long sessionId, boolean onlyMarkStopping, Duration timeout) {
    CloseSessionRequest request =
        CloseSessionRequest.newBuilder()
            .setSessionId(sessionId)
            .setOnlyMarkStopping(onlyMarkStopping)
            .build();
    return calls
        .call(Method.CLOSE_SESSION, request.toByteArray(), timeout)
        .thenApply(Either::isRight);
  }

  private <T> CompletableFuture<Optional<T>> call(
      Method method, MessageLite request, Duration timeout, Parser<T> parser) {
    return calls
        .call(method, request.toByteArray(), timeout, timeout)
        .handle(
            (outcome, failure) ->
                failure == null && outcome.isRight()
                    ? parse(parser, outcome.get())
                    : Optional.empty());
  }

  private static <T> Optional<T> parse(Parser<T> parser, byte[] bytes) {
    try {
      return Optional.of(parser.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
