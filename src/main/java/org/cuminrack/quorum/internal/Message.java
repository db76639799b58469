package org.cuminrack.quorum.internal;

import java.util.List;

/** What replicas say to each other. */
public sealed interface Message {

  /** Asks whether an election could be won, without changing anything. */
  record PreVote(long nextTerm, long lastIndex, long lastTerm) implements Message {}

  /** Answers a {@link PreVote}. */
  record PreVoteReply(long nextTerm, boolean granted) implements Message {}

  /** Asks for a vote in the packet's term. */
  record Vote(long lastIndex, long lastTerm) implements Message {}

  /** Answers a {@link Vote}. */
  record VoteReply(boolean granted) implements Message {}

  /** Entries after a known one, or none: then it is a heartbeat. */
  record Append(
      long previousIndex, long previousTerm, List<LogEntry> entries, long commit, long readSequence)
      implements Message {}

  /**
   * Answers an {@link Append}.
   *
   * @param previousIndex the answered message's
   * @param matchIndex up to where the log is the leader's and synced; set if accepted
   * @param hintIndex where the leader may try next; set if not accepted
   * @param readOnly the disk takes no more entries
   */
  record AppendReply(
      boolean accepted,
      long previousIndex,
      long matchIndex,
      long hintIndex,
      long readSequence,
      boolean readOnly)
      implements Message {}

  /** A part of a snapshot, whose data is only the bytes from an offset. */
  record SnapshotPart(SnapshotImage image, long offset, long totalBytes, long readSequence)
      implements Message {}

  /**
   * Answers a {@link SnapshotPart}: which offset comes next; one past the end when all is there.
   */
  record SnapshotReply(long index, long nextOffset, long readSequence) implements Message {}

  /** A replica that doesn't vote looks for its group; the number comes back in the answers. */
  record Hello(boolean blank, long round) implements Message {}

  /** Answers a {@link Hello}. */
  record HelloReply(boolean blank, long round) implements Message {}

  /** Makes a blank replica a voter of a new group. */
  record Form(VoterSet voters) implements Message {}
}
