package org.cuminrack.storage;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminrack.generated.quorum.VoteStateRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.LogEntry;
import org.cuminrack.quorum.internal.RecordCodec;
import org.cuminrack.quorum.internal.RecoveredState;
import org.cuminrack.quorum.internal.ReplicaId;
import org.cuminrack.quorum.internal.SnapshotImage;

/**
 * The durable state of a replica, stored in one folder. Methods that write return after the data is
 * synced, and throw an {@link IOException} if the disk refuses. If the stored data is corrupt, the
 * files are moved aside and the replica starts on a blank disk with a new incarnation. Not
 * thread-safe.
 */
public final class LogStore implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
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
    disk.createFolders(folder);
    LogStore store = new LogStore(disk, folder, FolderLock.acquire(folder));
    try {
      store.recover(vmName, incarnationSource);
    } catch (IOException | RuntimeException e) {
      try {
        store.close();
      } catch (IOException closeFailure) {
        e.addSuppressed(closeFailure);
      }
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
      DamagedFiles.moveAside(disk, folder);
      recovered = createBlank(vmName, incarnationSource);
    }
  }

  private RecoveredState readOrCreate(String vmName, LongSupplier incarnationSource)
      throws IOException {
    if (IdentityFile.exists(folder)) {
      return read(vmName);
    }
    boolean hasLog =
        !NumberedFiles.list(folder, SegmentedLog.PREFIX).isEmpty()
            || !NumberedFiles.list(folder, SnapshotFiles.PREFIX).isEmpty();
    if (hasLog) {
      throw new CorruptionException(
          folder.resolve(IdentityFile.NAME), 0, "missing, but the folder has a log or a snapshot");
    }
    return createBlank(vmName, incarnationSource);
  }

  private RecoveredState createBlank(String vmName, LongSupplier incarnationSource)
      throws IOException {
    openLogAndSnapshots();
    voteFile = VoteFile.create(disk, folder, 0, null);
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
    openLogAndSnapshots();
    voteFile = VoteFile.open(disk, folder);
    VoteStateRecord vote = voteFile.read();
    ReplicaId votedFor = vote.hasVotedFor() ? RecordCodec.fromRecord(vote.getVotedFor()) : null;
    SnapshotImage snapshot = snapshots.readNewest();
    List<LogEntry> entries = log.recover(snapshot == null ? 0 : snapshot.index());
    List<LogEntry> tail = LogTail.afterSnapshot(snapshot, entries, folder);
    RecoveredState state = new RecoveredState(self, vote.getTerm(), votedFor, snapshot, tail);
    repeatUnconfirmedWrites(state);
    return state;
  }

  /**
   * Writes again what no later write shows to be durable: the process may have ended after a sync
   * was refused, or before the log was cleared after a snapshot.
   */
  private void repeatUnconfirmedWrites(RecoveredState state) throws IOException {
    if (state.snapshot() == null) {
      voteFile.close();
      voteFile = VoteFile.create(disk, folder, state.term(), state.votedFor());
      IdentityFile.write(disk, folder, state.self());
      return;
    }
    if (voteFile.copiesDiffer()) {
      voteFile.write(state.term(), state.votedFor());
    }
    if (state.entries().isEmpty()) {
      saveSnapshot(state.snapshot(), true);
    }
  }

  private void openLogAndSnapshots() {
    log = new SegmentedLog(disk, folder);
    snapshots = new SnapshotFiles(disk, folder);
  }

  /**
   * Writes the term and the vote in it, in place, so that this also works on most full disks. A
   * call that failed can be repeated, also with other values.
   */
  public void saveVote(long term, ReplicaId votedFor) throws IOException {
    voteFile.write(term, votedFor);
  }

  /**
   * Appends entries, replacing existing entries from the first index on. After a failure, the state
   * is the one before, and the call can be repeated.
   */
  public void append(List<LogEntry> entries) throws IOException {
    log.append(entries);
  }

  /**
   * Writes a snapshot and deletes files that it makes obsolete. A call that failed can be repeated;
   * it must be if it resets the log, before anything else is written.
   *
   * @param resetsLog whether to delete all entries, including those after the snapshot
   */
  public void saveSnapshot(SnapshotImage image, boolean resetsLog) throws IOException {
    snapshots.write(image);
    if (resetsLog) {
      log.clear();
    } else {
      log.deleteUpTo(image.index());
    }
  }

  /** Writes and deletes a probe file; returns whether the disk accepted both. */
  public boolean acceptsWrites() {
    Path probe = folder.resolve(PROBE_NAME);
    try {
      try (DiskFile file = disk.open(probe)) {
        file.write(0, new byte[PROBE_BYTES]);
        file.sync();
      }
      disk.delete(probe);
      return true;
    } catch (IOException e) {
      logger.atFine().withCause(e).log("%s", LogEvent.named("disk-probe-refused"));
      return false;
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
