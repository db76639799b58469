package org.cuminrack.quorum.internal;

import java.util.List;

/** A protocol message between replicas. */
public sealed interface Message {

  /** Asks whether the receiver would grant a vote; changes no term or vote. */
  record PreVoteRequest(long nextTerm, long lastIndex, long lastTerm) implements Message {}

  /** The reply to a {@link PreVoteRequest}. */
  record PreVoteReply(long nextTerm, boolean granted) implements Message {}

  /** Requests a vote in the packet's term. */
  record VoteRequest(long lastIndex, long lastTerm) implements Message {}

  /** The reply to a {@link VoteRequest}. */
  record VoteReply(boolean granted) implements Message {}

  /**
   * Asks to append entries after the given previous entry; without entries it is a heartbeat.
   *
   * @param commit the leader's commit index
   * @param readSequence number of the leader's newest read, echoed to confirm leadership
   */
  record AppendRequest(
      long previousIndex, long previousTerm, List<LogEntry> entries, long commit, long readSequence)
      implements Message {}

  /**
   * The reply to an {@link AppendRequest}.
   *
   * @param previousIndex the previous index of the request
   * @param matchIndex the index up to which the log is synced and matches the leader's; set if
   *     accepted
   * @param hintIndex the previous index for the leader's next attempt; set if rejected
   * @param diskFull whether the disk is full
   */
  record AppendReply(
      boolean accepted,
      long previousIndex,
      long matchIndex,
      long hintIndex,
      long readSequence,
      boolean diskFull)
      implements Message {}

  /** A part of a snapshot; the image's data holds only the bytes from the offset on. */
  record SnapshotPart(SnapshotImage image, long offset, long totalBytes, long readSequence)
      implements Message {}

  /**
   * The reply to a {@link SnapshotPart}: the next offset expected, or the total size plus one once
   * the snapshot is complete.
   */
  record SnapshotReply(long index, long nextOffset, long readSequence) implements Message {}

  /**
   * Sent by a replica that searches for its group; replies carry the same round.
   *
   * @param dataCentre the sender's data centre; empty if unknown
   */
  record Hello(boolean blank, long round, String dataCentre) implements Message {}

  /**
   * The reply to a {@link Hello}.
   *
   * @param dataCentre the sender's data centre; empty if unknown
   */
  record HelloReply(boolean blank, long round, String dataCentre) implements Message {}

  /** Sends the voter set to a blank replica, which becomes a voter if it is in the set. */
  record FormGroup(VoterSet voters) implements Message {}
}
