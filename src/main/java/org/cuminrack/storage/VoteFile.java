package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import org.cuminrack.generated.quorum.VoteStateRecord;
import org.cuminrack.quorum.internal.RecordCodec;
import org.cuminrack.quorum.internal.ReplicaId;

/**
 * The file that stores the current term and vote, overwritten in place so that writes also work on
 * a full disk. It holds two copies, written and synced one after the other, so that one is intact
 * after any crash.
 */
final class VoteFile implements AutoCloseable {
  static final String NAME = "vote";
  private static final int SLOT_BYTES = 4096;
  private static final int SLOT_COUNT = 2;

  private final Path path;
  private final DiskFile file;
  private long sequence;

  private VoteFile(Path path, DiskFile file) {
    this.path = path;
    this.file = file;
  }

  static VoteFile open(Disk disk, Path folder) throws IOException {
    Path path = folder.resolve(NAME);
    return new VoteFile(path, disk.open(path));
  }

  boolean isEmpty() throws IOException {
    return file.size() == 0;
  }

  void write(long term, ReplicaId votedFor) throws IOException {
    sequence++;
    VoteStateRecord.Builder record =
        VoteStateRecord.newBuilder().setTerm(term).setSequence(sequence);
    if (votedFor != null) {
      record.setVotedFor(RecordCodec.toRecord(votedFor));
    }
    byte[] slot = Arrays.copyOf(Frame.wrap(record.build().toByteArray()), SLOT_BYTES);
    for (int i = 0; i < SLOT_COUNT; i++) {
      file.write((long) i * SLOT_BYTES, slot);
      file.sync();
    }
  }

  VoteStateRecord read() throws IOException {
    byte[] bytes = file.readAll();
    VoteStateRecord newest = null;
    for (int i = 0; i < SLOT_COUNT; i++) {
      VoteStateRecord slot = readSlot(bytes, i * SLOT_BYTES);
      if (slot != null && (newest == null || slot.getSequence() > newest.getSequence())) {
        newest = slot;
      }
    }
    if (newest == null) {
      throw new CorruptionException(path, 0, "no intact copy of the vote");
    }
    sequence = newest.getSequence();
    return newest;
  }

  private static VoteStateRecord readSlot(byte[] bytes, int offset) throws IOException {
    if (offset >= bytes.length) {
      return null;
    }
    return Frame.read(bytes, offset) instanceof Frame.Result.Intact intact
        ? VoteStateRecord.parseFrom(intact.payload())
        : null;
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
