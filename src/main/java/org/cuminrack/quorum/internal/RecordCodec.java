package org.cuminrack.quorum.internal;

import com.google.protobuf.ByteString;
import java.util.List;
import org.cuminrack.generated.quorum.EntryRecord;
import org.cuminrack.generated.quorum.ReplicaName;
import org.cuminrack.generated.quorum.SnapshotRecord;

/** Converts entries, snapshots and replica IDs to and from protobuf records. */
public final class RecordCodec {

  private RecordCodec() {}

  public static ReplicaName toRecord(ReplicaId replica) {
    return ReplicaName.newBuilder()
        .setVmName(replica.vmName())
        .setIncarnation(replica.incarnation())
        .build();
  }

  public static ReplicaId fromRecord(ReplicaName record) {
    return new ReplicaId(record.getVmName(), record.getIncarnation());
  }

  public static EntryRecord toRecord(LogEntry entry) {
    return EntryRecord.newBuilder()
        .setIndex(entry.index())
        .setTerm(entry.term())
        .setKind(entry.kind().number())
        .setData(ByteString.copyFrom(entry.data()))
        .build();
  }

  public static LogEntry fromRecord(EntryRecord record) {
    return new LogEntry(
        record.getIndex(),
        record.getTerm(),
        EntryKind.of(record.getKind()),
        record.getData().toByteArray());
  }

  public static List<EntryRecord> toRecords(List<LogEntry> entries) {
    return entries.stream().map(RecordCodec::toRecord).toList();
  }

  public static List<LogEntry> fromRecords(List<EntryRecord> records) {
    return records.stream().map(RecordCodec::fromRecord).toList();
  }

  public static SnapshotRecord toRecord(SnapshotImage image) {
    return SnapshotRecord.newBuilder()
        .setIndex(image.index())
        .setTerm(image.term())
        .setGroupId(image.groupId())
        .setVoters(ByteString.copyFrom(image.voters().encode()))
        .setData(ByteString.copyFrom(image.data()))
        .build();
  }

  public static SnapshotImage fromRecord(SnapshotRecord record) {
    return new SnapshotImage(
        record.getIndex(),
        record.getTerm(),
        record.getGroupId(),
        VoterSet.decode(record.getVoters().toByteArray()),
        record.getData().toByteArray());
  }
}
