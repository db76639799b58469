package org.cuminrack.quorum.internal;

import java.util.List;

/**
 * The state that a replica recovers from its disk.
 *
 * @param votedFor the candidate voted for in the term; null if none
 * @param snapshot the newest snapshot; null on a blank disk
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredState(
    ReplicaId self, long term, ReplicaId votedFor, SnapshotImage snapshot, List<LogEntry> entries) {

  /** Returns the state of a disk that holds only the replica's identity. */
  public static RecoveredState blank(ReplicaId self) {
    return new RecoveredState(self, 0, null, null, List.of());
  }
}
