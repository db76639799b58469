package org.cuminrack.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
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
  private boolean copiesDiffer;

  private VoteFile(Path path, DiskFile file) {
    this.path = path;
    this.file = file;
  }

  static VoteFile open(Disk disk, Path folder) throws IOException {
    Path path = folder.resolve(NAME);
    return new VoteFile(path, disk.open(path));
  }

  /** Creates the file, or replaces it by a new one, and syncs it with its folder. */
  static VoteFile create(Disk disk, Path folder, long term, ReplicaId votedFor) throws IOException {
    byte[] slot = slot(1, term, votedFor);
    ByteBuffer slots = ByteBuffer.allocate(SLOT_COUNT * SLOT_BYTES);
    for (int i = 0; i < SLOT_COUNT; i++) {
      slots.put(slot);
    }
    AtomicFile.write(disk, folder.resolve(NAME), slots.array());
    VoteFile created = open(disk, folder);
    created.sequence = 1;
    return created;
  }

  /**
   * Writes and syncs both copies. After a failure, the copy that was not being written holds the
   * previous vote or the new one; a repeated call writes both again.
   */
  void write(long term, ReplicaId votedFor) throws IOException {
    sequence++;
    byte[] slot = slot(sequence, term, votedFor);
    for (int i = 0; i < SLOT_COUNT; i++) {
      file.write((long) i * SLOT_BYTES, slot);
      file.sync();
    }
  }

  private static byte[] slot(long sequence, long term, ReplicaId votedFor) {
    VoteStateRecord.Builder record =
        VoteStateRecord.newBuilder().setTerm(term).setSequence(sequence);
    if (votedFor != null) {
      record.setVotedFor(RecordCodec.toRecord(votedFor));
    }
    return Arrays.copyOf(Frame.wrap(record.build().toByteArray()), SLOT_BYTES);
  }

  VoteStateRecord read() throws IOException {
    byte[] bytes = file.readAll();
    VoteStateRecord newest = null;
    for (int i = 0; i < SLOT_COUNT; i++) {
      VoteStateRecord slot = readSlot(bytes, i * SLOT_BYTES);
      copiesDiffer |= slot == null || (newest != null && !slot.equals(newest));
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

  /**
   * Returns whether the copies that were read differ: the process ended while it wrote them, and
   * the newer copy may not be durable.
   */
  boolean copiesDiffer() {
    return copiesDiffer;
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
