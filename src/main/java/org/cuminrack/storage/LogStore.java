package org.cuminrack.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminrack.generated.quorum.VoteStateRecord;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;
import org.cuminrack.quorum.internal.RecoveredState;
import org.cuminrack.quorum.internal.ReplicaId;
import org.cuminrack.quorum.internal.SnapshotImage;

/**
 * The durable state of a replica, stored in one folder. Methods that write return after the data is
 * synced. If the stored data is corrupt, the files are moved aside and the replica starts on a
 * blank disk with a new incarnation. Not thread-safe.
 */
public final class LogStore implements AutoCloseable {
  private static final int PROBE_BYTES = 64 << 10;
  private static final String PROBE_NAME = "probe" + AtomicFile.UNFINISHED_SUFFIX;

  private final Disk disk;
  private final Path folder;
  private final FolderLock lock;
  private VoteFile voteFile;
  private SegmentedLog log;
  private SnapshotFiles snapshots;
  private RecoveredState recovered;
  private String corruption;

  private LogStore(Disk disk, Path folder, FolderLock lock) {
    this.disk = disk;
    this.folder = folder;
    this.lock = lock;
  }

  /**
   * Opens a data folder and creates it if it does not exist.
   *
   * @param vmName the VM to which the folder must belong
   * @param incarnationSource generates the incarnation of a new disk; must never repeat a value
   */
  public static LogStore open(Disk disk, Path folder, String vmName, LongSupplier incarnationSource)
      throws IOException {
    Files.createDirectories(folder);
    LogStore store = new LogStore(disk, folder, FolderLock.acquire(folder));
    try {
      store.recover(vmName, incarnationSource);
    } catch (IOException | RuntimeException e) {
      store.close();
      throw e;
    }
    return store;
  }

  /** Returns the state read from disk when the folder was opened. */
  public RecoveredState recovered() {
    return recovered;
  }

  /** Returns a description of the corruption found on opening, or empty if there was none. */
  public Optional<String> corruption() {
    return Optional.ofNullable(corruption);
  }

  private void recover(String vmName, LongSupplier incarnationSource) throws IOException {
    try {
      recovered = readOrCreate(vmName, incarnationSource);
    } catch (CorruptionException | InvalidProtocolBufferException | IllegalArgumentException e) {
      corruption = e.getMessage();
      closeFiles();
      DamagedFiles.moveAside(folder);
      recovered = createBlank(vmName, incarnationSource);
    }
  }

  private RecoveredState readOrCreate(String vmName, LongSupplier incarnationSource)
      throws IOException {
    if (IdentityFile.exists(folder)) {
      return read(vmName);
    }
    boolean hasSegments = !NumberedFiles.list(folder, SegmentedLog.PREFIX).isEmpty();
    if (hasSegments) {
      throw new CorruptionException(
          folder.resolve(IdentityFile.NAME), 0, "missing, but the folder has log segments");
    }
    return createBlank(vmName, incarnationSource);
  }

  private RecoveredState createBlank(String vmName, LongSupplier incarnationSource)
      throws IOException {
    openFiles();
    voteFile.write(0, null);
    ReplicaId self = new ReplicaId(vmName, incarnationSource.getAsLong());
    IdentityFile.write(disk, folder, self);
    return RecoveredState.blank(self);
  }

  private RecoveredState read(String vmName) throws IOException {
    ReplicaId self = IdentityFile.read(disk, folder);
    if (!self.vmName().equals(vmName)) {
      throw new IllegalStateException(
          "data folder " + folder + ": expected VM " + vmName + ", found " + self.vmName());
    }
    openFiles();
    VoteStateRecord vote = voteFile.read();
    ReplicaId votedFor = vote.hasVotedFor() ? RecordCodec.fromRecord(vote.getVotedFor()) : null;
    SnapshotImage snapshot = snapshots.readNewest();
    List<LogEntry> entries = log.recover();
    List<LogEntry> tail = LogTail.afterSnapshot(snapshot, entries, folder);
    if (tail.isEmpty() && !entries.isEmpty()) {
      // Entries appended later must not follow ones that the next start would discard with them.
      log.clear();
    }
    return new RecoveredState(self, vote.getTerm(), votedFor, snapshot, tail);
  }

  private void openFiles() throws IOException {
    voteFile = VoteFile.open(disk, folder);
    log = new SegmentedLog(disk, folder);
    snapshots = new SnapshotFiles(disk, folder);
  }

  /** Writes the term and the vote in it; also works on a full disk. */
  public void saveVote(long term, ReplicaId votedFor) throws IOException {
    voteFile.write(term, votedFor);
  }

  /**
   * Appends entries, replacing existing entries from the first index on.
   *
   * @throws DiskFullException if a write fails, whatever the cause
   */
  public void append(List<LogEntry> entries) throws IOException {
    try {
      log.write(entries);
    } catch (IOException e) {
      throw new DiskFullException(e);
    }
    log.sync();
  }

  /**
   * Writes a snapshot and deletes files that it makes obsolete.
   *
   * @param resetsLog whether to delete all entries, including those after the snapshot
   * @throws DiskFullException if writing the snapshot fails, whatever the cause
   */
  public void saveSnapshot(SnapshotImage image, boolean resetsLog) throws IOException {
    try {
      snapshots.write(image);
    } catch (IOException e) {
      throw new DiskFullException(e);
    }
    if (resetsLog) {
      log.clear();
    } else {
      log.deleteUpTo(image.index());
    }
  }

  /** Writes a probe file and returns whether that succeeded. */
  public boolean hasFreeSpace() {
    Path probe = folder.resolve(PROBE_NAME);
    try {
      try (DiskFile file = disk.open(probe)) {
        file.write(0, new byte[PROBE_BYTES]);
      }
      return true;
    } catch (IOException e) {
      return false;
    } finally {
      deleteIfExists(probe);
    }
  }

  private static void deleteIfExists(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void closeFiles() throws IOException {
    if (voteFile != null) {
      voteFile.close();
    }
    if (log != null) {
      log.close();
    }
  }

  @Override
  public void close() throws IOException {
    closeFiles();
    lock.close();
  }
}
