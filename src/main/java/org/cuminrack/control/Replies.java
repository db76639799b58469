package org.cuminrack.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import org.cuminrack.generated.control.ControlReply;
import org.cuminrack.generated.control.ReplyStatus;
import org.cuminrack.quorum.ProposalFailure;

/** Encodes the replies of the control service. */
final class Replies {
  private Replies() {}

  static byte[] ok(byte[] body) {
    return ControlReply.newBuilder().setBody(ByteString.copyFrom(body)).build().toByteArray();
  }

  static byte[] ok(MessageLite body) {
    return ok(body.toByteArray());
  }

  static byte[] notLeader(String leader) {
    return ControlReply.newBuilder()
        .setStatus(ReplyStatus.NOT_LEADER)
        .setLeader(leader)
        .build()
        .toByteArray();
  }

  static byte[] refused(String detail) {
    return failed(ReplyStatus.REFUSED, detail);
  }

  static byte[] of(ProposalFailure failure) {
    if (failure instanceof ProposalFailure.NotLeader notLeader) {
      return notLeader(notLeader.leader());
    }
    if (failure instanceof ProposalFailure.ReadOnly readOnly) {
      return failed(ReplyStatus.READ_ONLY, readOnly.detail());
    }
    if (failure instanceof ProposalFailure.TooFewVoters tooFew) {
      return failed(ReplyStatus.READ_ONLY, "voters: " + tooFew.detail());
    }
    return failed(ReplyStatus.OUTCOME_UNKNOWN, ((ProposalFailure.OutcomeUnknown) failure).detail());
  }

  private static byte[] failed(ReplyStatus status, String detail) {
    return ControlReply.newBuilder().setStatus(status).setDetail(detail).build().toByteArray();
  }
}
