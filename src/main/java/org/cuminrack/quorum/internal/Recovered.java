package org.cuminrack.quorum.internal;

import java.util.List;

/**
 * What a replica finds on its disk.
 *
 * @param votedFor null if none in this term
 * @param snapshot null on a blank disk
 * @param entries those after the snapshot, without gaps
 */
public record Recovered(
    ReplicaId self, long term, ReplicaId votedFor, SnapshotImage snapshot, List<LogEntry> entries) {

  /** Returns the state of a disk on which nothing but the replica's identity is written. */
  public static Recovered blank(ReplicaId self) {
    return new Recovered(self, 0, null, null, List.of());
  }
}
