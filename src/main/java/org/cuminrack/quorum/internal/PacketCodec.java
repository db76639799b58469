package org.cuminrack.quorum.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cuminrack.generated.quorum.AppendRecord;
import org.cuminrack.generated.quorum.AppendReplyRecord;
import org.cuminrack.generated.quorum.FormRecord;
import org.cuminrack.generated.quorum.HelloRecord;
import org.cuminrack.generated.quorum.HelloReplyRecord;
import org.cuminrack.generated.quorum.PacketRecord;
import org.cuminrack.generated.quorum.PreVoteRecord;
import org.cuminrack.generated.quorum.PreVoteReplyRecord;
import org.cuminrack.generated.quorum.SnapshotPartRecord;
import org.cuminrack.generated.quorum.SnapshotReplyRecord;
import org.cuminrack.generated.quorum.VoteRecord;
import org.cuminrack.generated.quorum.VoteReplyRecord;

/** Encodes and decodes packets for the wire. */
public final class PacketCodec {

  private PacketCodec() {}

  /** Encodes a packet. */
  public static byte[] encode(Packet packet) {
    PacketRecord.Builder record =
        PacketRecord.newBuilder()
            .setFrom(RecordCodec.toRecord(packet.from()))
            .setToVm(packet.toVm())
            .setToIncarnation(packet.toIncarnation())
            .setGroupId(packet.groupId())
            .setTerm(packet.term());
    setMessage(record, packet.message());
    return record.build().toByteArray();
  }

  /**
   * Decodes a packet.
   *
   * @throws IllegalArgumentException if the bytes are not a packet
   */
  public static Packet decode(byte[] bytes) {
    try {
      PacketRecord record = PacketRecord.parseFrom(bytes);
      return new Packet(
          RecordCodec.fromRecord(record.getFrom()),
          record.getToVm(),
          record.getToIncarnation(),
          record.getGroupId(),
          record.getTerm(),
          messageOf(record));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("packet: expected a PacketRecord, found " + e, e);
    }
  }

  private static void setMessage(PacketRecord.Builder record, Message message) {
    if (message instanceof Message.AppendRequest append) {
      record.setAppend(toRecord(append));
    } else if (message instanceof Message.AppendReply reply) {
      record.setAppendReply(toRecord(reply));
    } else if (message instanceof Message.PreVoteRequest request) {
      record.setPreVote(
          PreVoteRecord.newBuilder()
              .setNextTerm(request.nextTerm())
              .setLastIndex(request.lastIndex())
              .setLastTerm(request.lastTerm()));
    } else if (message instanceof Message.PreVoteReply reply) {
      record.setPreVoteReply(
          PreVoteReplyRecord.newBuilder()
              .setNextTerm(reply.nextTerm())
              .setGranted(reply.granted()));
    } else if (message instanceof Message.VoteRequest request) {
      record.setVote(
          VoteRecord.newBuilder()
              .setLastIndex(request.lastIndex())
              .setLastTerm(request.lastTerm()));
    } else if (message instanceof Message.VoteReply reply) {
      record.setVoteReply(VoteReplyRecord.newBuilder().setGranted(reply.granted()));
    } else {
      setSnapshotOrGroupMessage(record, message);
    }
  }

  private static void setSnapshotOrGroupMessage(PacketRecord.Builder record, Message message) {
    if (message instanceof Message.SnapshotPart part) {
      record.setSnapshotPart(
          SnapshotPartRecord.newBuilder()
              .setImage(RecordCodec.toRecord(part.image()))
              .setOffset(part.offset())
              .setTotalBytes(part.totalBytes())
              .setReadSequence(part.readSequence()));
    } else if (message instanceof Message.SnapshotReply reply) {
      record.setSnapshotReply(
          SnapshotReplyRecord.newBuilder()
              .setIndex(reply.index())
              .setNextOffset(reply.nextOffset())
              .setReadSequence(reply.readSequence()));
    } else if (message instanceof Message.Hello hello) {
      record.setHello(
          HelloRecord.newBuilder()
              .setBlank(hello.blank())
              .setRound(hello.round())
              .setDataCentre(hello.dataCentre()));
    } else if (message instanceof Message.HelloReply reply) {
      record.setHelloReply(
          HelloReplyRecord.newBuilder()
              .setBlank(reply.blank())
              .setRound(reply.round())
              .setDataCentre(reply.dataCentre()));
    } else if (message instanceof Message.FormGroup form) {
      record.setForm(
          FormRecord.newBuilder().setVoters(ByteString.copyFrom(form.voters().encode())));
    }
  }

  private static AppendRecord toRecord(Message.AppendRequest append) {
    return AppendRecord.newBuilder()
        .setPreviousIndex(append.previousIndex())
        .setPreviousTerm(append.previousTerm())
        .addAllEntries(RecordCodec.toRecords(append.entries()))
        .setCommit(append.commit())
        .setReadSequence(append.readSequence())
        .build();
  }

  private static AppendReplyRecord toRecord(Message.AppendReply reply) {
    return AppendReplyRecord.newBuilder()
        .setAccepted(reply.accepted())
        .setPreviousIndex(reply.previousIndex())
        .setMatchIndex(reply.matchIndex())
        .setHintIndex(reply.hintIndex())
        .setReadSequence(reply.readSequence())
        .setReadOnly(reply.diskFull())
        .build();
  }

  private static Message messageOf(PacketRecord record) {
    return switch (record.getMessageCase()) {
      case PRE_VOTE -> messageOf(record.getPreVote());
      case PRE_VOTE_REPLY -> messageOf(record.getPreVoteReply());
      case VOTE -> messageOf(record.getVote());
      case VOTE_REPLY -> new Message.VoteReply(record.getVoteReply().getGranted());
      case APPEND -> messageOf(record.getAppend());
      case APPEND_REPLY -> messageOf(record.getAppendReply());
      case SNAPSHOT_PART -> messageOf(record.getSnapshotPart());
      case SNAPSHOT_REPLY -> messageOf(record.getSnapshotReply());
      case HELLO -> messageOf(record.getHello());
      case HELLO_REPLY -> messageOf(record.getHelloReply());
      case FORM ->
          new Message.FormGroup(VoterSet.decode(record.getForm().getVoters().toByteArray()));
      case MESSAGE_NOT_SET ->
          throw new IllegalArgumentException("packet: expected a message, found none");
    };
  }

  private static Message messageOf(PreVoteRecord record) {
    return new Message.PreVoteRequest(
        record.getNextTerm(), record.getLastIndex(), record.getLastTerm());
  }

  private static Message messageOf(PreVoteReplyRecord record) {
    return new Message.PreVoteReply(record.getNextTerm(), record.getGranted());
  }

  private static Message messageOf(VoteRecord record) {
    return new Message.VoteRequest(record.getLastIndex(), record.getLastTerm());
  }

  private static Message messageOf(AppendRecord record) {
    return new Message.AppendRequest(
        record.getPreviousIndex(),
        record.getPreviousTerm(),
        RecordCodec.fromRecords(record.getEntriesList()),
        record.getCommit(),
        record.getReadSequence());
  }

  private static Message messageOf(AppendReplyRecord record) {
    return new Message.AppendReply(
        record.getAccepted(),
        record.getPreviousIndex(),
        record.getMatchIndex(),
        record.getHintIndex(),
        record.getReadSequence(),
        record.getReadOnly());
  }

  private static Message messageOf(SnapshotPartRecord record) {
    return new Message.SnapshotPart(
        RecordCodec.fromRecord(record.getImage()),
        record.getOffset(),
        record.getTotalBytes(),
        record.getReadSequence());
  }

  private static Message messageOf(SnapshotReplyRecord record) {
    return new Message.SnapshotReply(
        record.getIndex(), record.getNextOffset(), record.getReadSequence());
  }

  private static Message messageOf(HelloRecord record) {
    return new Message.Hello(record.getBlank(), record.getRound(), record.getDataCentre());
  }

  private static Message messageOf(HelloReplyRecord record) {
    return new Message.HelloReply(record.getBlank(), record.getRound(), record.getDataCentre());
  }
}
