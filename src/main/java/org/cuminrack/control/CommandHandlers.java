package org.cuminrack.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ClaimRequest;
import org.cuminrack.generated.control.ClearSuspectRequest;
import org.cuminrack.generated.control.Command;
import org.cuminrack.generated.control.CrashRequest;
import org.cuminrack.generated.control.DepartureRequest;
import org.cuminrack.generated.control.FencingNumberRequest;
import org.cuminrack.generated.control.FinishRequest;
import org.cuminrack.generated.control.TrialRequest;

/** Handles the requests that each append one command to the replicated log. */
final class CommandHandlers {
  /** The longest change id, in characters. */
  static final int MAX_CHANGE_ID_LENGTH = 200;

  private final Proposer proposer;

  CommandHandlers(Proposer proposer) {
    this.proposer = proposer;
  }

  CompletableFuture<byte[]> applyChange(byte[] payload) throws InvalidProtocolBufferException {
    ChangeRequest request = ChangeRequest.parseFrom(payload);
    int length = request.getChangeId().length();
    if (length == 0 || length > MAX_CHANGE_ID_LENGTH) {
      return refused("change_id: expected 1 to " + MAX_CHANGE_ID_LENGTH + " characters");
    }
    return proposer.proposeAndReply(Command.newBuilder().setChange(request));
  }

  CompletableFuture<byte[]> claimCall(byte[] payload) throws InvalidProtocolBufferException {
    ClaimRequest request = ClaimRequest.parseFrom(payload);
    if (request.getToken().isEmpty()) {
      return refused("token: expected one, found none");
    }
    return proposer.proposeAndReply(Command.newBuilder().setClaim(request));
  }

  CompletableFuture<byte[]> finishCall(byte[] payload) throws InvalidProtocolBufferException {
    return proposer.proposeAndReply(
        Command.newBuilder().setFinish(FinishRequest.parseFrom(payload)));
  }

  CompletableFuture<byte[]> reportCrash(byte[] payload) throws InvalidProtocolBufferException {
    return proposer.proposeAndReply(Command.newBuilder().setCrash(CrashRequest.parseFrom(payload)));
  }

  CompletableFuture<byte[]> clearSuspect(byte[] payload) throws InvalidProtocolBufferException {
    return proposer.proposeAndReply(
        Command.newBuilder().setClearSuspect(ClearSuspectRequest.parseFrom(payload)));
  }

  CompletableFuture<byte[]> trySuspect(byte[] payload) throws InvalidProtocolBufferException {
    return proposer.proposeAndReply(Command.newBuilder().setTrial(TrialRequest.parseFrom(payload)));
  }

  CompletableFuture<byte[]> recordDeparture(byte[] payload) throws InvalidProtocolBufferException {
    DepartureRequest request = DepartureRequest.parseFrom(payload);
    if (request.getUpstream().isEmpty()) {
      return refused("upstream: expected an id, found none");
    }
    return proposer.proposeAndReply(Command.newBuilder().setDeparture(request));
  }

  CompletableFuture<byte[]> allocateFencingNumber(byte[] payload)
      throws InvalidProtocolBufferException {
    return proposer.proposeAndReply(
        Command.newBuilder().setFencingNumber(FencingNumberRequest.parseFrom(payload)));
  }

  private static CompletableFuture<byte[]> refused(String detail) {
    return CompletableFuture.completedFuture(Replies.refused(detail));
  }
}
