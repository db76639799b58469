package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * An in-memory disk: the synced state, and the pending writes and the packets that wait for them,
 * which a crash loses.
 */
final class SimulatedDisk {
  ReplicaId self;
  DiskQueue queue = new DiskQueue();
  boolean full;
  boolean refusesVotes;
  private Effect refusedWrite;
  private long term;
  private ReplicaId votedFor;
  private SnapshotImage snapshot;
  private List<LogEntry> entries = new ArrayList<>();

  SimulatedDisk(ReplicaId self) {
    this.self = self;
  }

  RecoveredState recovered() {
    return new RecoveredState(self, term, votedFor, snapshot, List.copyOf(entriesAfterSnapshot()));
  }

  private List<LogEntry> entriesAfterSnapshot() {
    return entries.stream().filter(entry -> entry.index() > snapshot.index()).toList();
  }

  /**
   * Erases the disk. Keeps the incarnation and the group's initial snapshot if the identity is
   * kept; otherwise sets a new incarnation.
   */
  void wipe(long incarnation, boolean keepsIdentity) {
    SnapshotImage first = keepsIdentity ? initialSnapshot() : null;
    queue = new DiskQueue();
    refusedWrite = null;
    entries.clear();
    term = 0;
    votedFor = null;
    snapshot = first;
    full = false;
    if (!keepsIdentity) {
      self = new ReplicaId(self.vmName(), incarnation);
    }
  }

  private SnapshotImage initialSnapshot() {
    return snapshot == null
        ? null
        : new SnapshotImage(0, 0, snapshot.groupId(), snapshot.voters(), new byte[0]);
  }

  /** Returns whether the disk refuses a write, as a disk without room or a faulty one does. */
  boolean refuses(Effect effect) {
    boolean isVote = effect instanceof Effect.SaveVote;
    return full && (!isVote || refusesVotes);
  }

  /** Records a refused write; if the VM crashes before it is repeated, it may be on the disk. */
  void refuse(Effect write) {
    refusedWrite = write;
    queue.refused(write);
  }

  /** Returns the write that was refused last; null if it was repeated since. */
  Effect refusedWrite() {
    return refusedWrite;
  }

  /** Discards what is not written. */
  void crash() {
    refusedWrite = null;
    queue = new DiskQueue();
  }

  /** Writes and syncs; returns the completion event for the core, or null. */
  Event write(Effect effect) {
    refusedWrite = null;
    if (effect instanceof Effect.SaveVote vote) {
      term = vote.term();
      votedFor = vote.votedFor();
      return new Event.VoteSynced(vote.sequence());
    }
    if (effect instanceof Effect.AppendLog append) {
      writeEntries(append.entries());
      return new Event.LogSynced(append.epoch(), last(append.entries()).index());
    }
    if (effect instanceof Effect.SaveSnapshot save) {
      snapshot = save.image();
      entries = save.resetsLog() ? new ArrayList<>() : new ArrayList<>(entriesAfterSnapshot());
      return new Event.LogSynced(save.epoch(), save.image().index());
    }
    return null;
  }

  private void writeEntries(List<LogEntry> added) {
    long first = added.get(0).index();
    entries.removeIf(entry -> entry.index() >= first);
    entries.addAll(added);
  }

  private static LogEntry last(List<LogEntry> entries) {
    return entries.get(entries.size() - 1);
  }
}
