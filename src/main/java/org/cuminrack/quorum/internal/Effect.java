package org.cuminrack.quorum.internal;

import java.util.List;
import org.cuminrack.quorum.ProposalFailure;

/**
 * An action requested by the core. Effects are requested in order; writes may be deferred while the
 * disk refuses them, and {@link DiskQueue} then decides what may be executed before them.
 */
public sealed interface Effect {

  /** Sends a packet after all votes up to a sequence number are synced. */
  record Send(Packet packet, long afterVoteSequence) implements Effect {}

  /** Writes and syncs term and vote; completes with {@link Event.VoteSynced}. */
  record SaveVote(long sequence, long term, ReplicaId votedFor) implements Effect {}

  /**
   * Writes and syncs entries; completes with {@link Event.LogSynced}. Existing entries from the
   * first index on are replaced.
   */
  record AppendLog(long epoch, List<LogEntry> entries) implements Effect {}

  /**
   * Writes and syncs a snapshot; completes with {@link Event.LogSynced}.
   *
   * @param resetsLog whether all entries are deleted, including those after the snapshot
   */
  record SaveSnapshot(long epoch, SnapshotImage image, boolean resetsLog) implements Effect {}

  /** Restores the state machine from a snapshot. */
  record Restore(SnapshotImage image) implements Effect {}

  /** Applies a committed entry; the request ID is 0 if no local request waits for it. */
  record Apply(LogEntry entry, long requestId) implements Effect {}

  /** Fails a request. */
  record Fail(long requestId, ProposalFailure failure) implements Effect {}

  /** Confirms leadership; a read is consistent once the index has been applied. */
  record Confirm(long requestId, long index) implements Effect {}
}
