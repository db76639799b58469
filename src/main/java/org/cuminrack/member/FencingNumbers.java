package org.cuminrack.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.FencingNumberRequest;
import org.cuminrack.generated.control.RevisionResult;
import org.cuminrack.wire.Method;

/** Issues fencing numbers for commands to upstreams: each is higher than all issued before. */
public final class FencingNumbers {
  private final ControlCalls calls;

  public FencingNumbers(ControlCalls calls) {
    this.calls = calls;
  }

  /** Returns the next fencing number. The future always completes normally. */
  public CompletableFuture<Either<ControlFailure, Long>> next(Duration timeout) {
    byte[] request = FencingNumberRequest.getDefaultInstance().toByteArray();
    return calls
        .call(Method.TAKE_FENCING_NUMBER, request, timeout)
        .thenApply(outcome -> outcome.flatMap(FencingNumbers::number));
  }

  private static Either<ControlFailure, Long> number(byte[] reply) {
    try {
      return Either.right(RevisionResult.parseFrom(reply).getRevision());
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new ControlFailure.Unknown("unreadable answer: " + e.getMessage()));
    }
  }
}
