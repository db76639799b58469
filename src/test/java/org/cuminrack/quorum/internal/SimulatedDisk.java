package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * An in-memory disk: the synced state, and the pending writes and the packets that wait for them,
 * which a crash loses.
 */
final class SimulatedDisk {
  ReplicaId self;
  final List<Effect> pending = new ArrayList<>();
  boolean full;
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
    pending.clear();
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

  /** Removes and returns the next pending effect that can be executed; null if there is none. */
  Effect removeNext() {
    for (int i = 0; i < pending.size(); i++) {
      Effect effect = pending.get(i);
      boolean needsFreeSpace =
          effect instanceof Effect.AppendLog || effect instanceof Effect.SaveSnapshot;
      if (!full || !needsFreeSpace) {
        return pending.remove(i);
      }
      if (effect instanceof Effect.SaveSnapshot) {
        return null;
      }
    }
    return null;
  }

  /** Writes and syncs; returns the completion event for the core, or null. */
  Event write(Effect effect) {
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
