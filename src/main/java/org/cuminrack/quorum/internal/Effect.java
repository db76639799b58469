package org.cuminrack.quorum.internal;

import java.util.List;
import org.cuminrack.quorum.ProposalFailure;

/** What the core wants done, in this order. */
public sealed interface Effect {

  /** Sends a packet once all votes up to a sequence number are synced. */
  record Send(Packet packet, long afterVoteSequence) implements Effect {}

  /** Writes term and vote and syncs them; answered by {@link Event.VoteSynced}. */
  record SaveVote(long sequence, long term, ReplicaId votedFor) implements Effect {}

  /**
   * Writes entries and syncs them; answered by {@link Event.LogSynced}. Entries already there from
   * the first one's index on are cut away before.
   */
  record AppendLog(long epoch, List<LogEntry> entries) implements Effect {}

  /**
   * Writes a snapshot and syncs it; answered by {@link Event.LogSynced}.
   *
   * @param resetsLog all entries are cut away, also those after the snapshot
   */
  record SaveSnapshot(long epoch, SnapshotImage image, boolean resetsLog) implements Effect {}

  /** Replaces the state machine's state. */
  record Restore(SnapshotImage image) implements Effect {}

  /** Applies a committed entry; the request is 0 where nobody here waits for it. */
  record Apply(LogEntry entry, long requestId) implements Effect {}

  /** A request has failed. */
  record Fail(long requestId, ProposalFailure failure) implements Effect {}

  /** Leadership is confirmed; an index to have applied comes with it. */
  record Confirm(long requestId, long index) implements Effect {}
}
