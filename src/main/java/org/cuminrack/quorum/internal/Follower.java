package org.cuminrack.quorum.internal;

import java.io.ByteArrayOutputStream;
import java.util.List;

/** Handles the messages of a leader. */
final class Follower {
  private final CoreState state;
  private final ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();
  private SnapshotImage partialSnapshot;

  /** The index up to which the log matches that of the leader of {@link #verifiedTerm}. */
  private long verifiedIndex;

  private long verifiedTerm;

  /** The highest read sequence received in the term, echoed in replies. */
  private long readSequence;

  Follower(CoreState state) {
    this.state = state;
  }

  void onAppend(ReplicaId from, Message.AppendRequest message) {
    followLeader(from);
    readSequence = Math.max(readSequence, message.readSequence());
    long previous = message.previousIndex();
    if (previous > state.log.lastIndex()) {
      reject(from, message, state.log.lastIndex());
      return;
    }
    boolean previousIsCompacted = previous < state.log.previousIndex();
    if (!previousIsCompacted && state.log.termAt(previous) != message.previousTerm()) {
      long hintIndex = Math.max(state.log.firstIndexWithTermOf(previous) - 1, state.commitIndex);
      reject(from, message, hintIndex);
      return;
    }
    boolean appended = appendMissing(message);
    state.commitTo(Math.min(message.commit(), verifiedIndex));
    if (!appended) {
      state.send(from, acceptedReply(previous));
    }
  }

  private void followLeader(ReplicaId from) {
    if (state.role == Role.LEADER) {
      throw new IllegalStateException("two leaders in term " + state.term + ": " + from);
    }
    if (state.role != Role.BLANK) {
      state.role = Role.FOLLOWER;
    }
    state.recordLeaderContact(from);
    if (verifiedTerm != state.term) {
      verifiedTerm = state.term;
      verifiedIndex = state.commitIndex;
      readSequence = 0;
    }
  }

  private void reject(ReplicaId from, Message.AppendRequest message, long hintIndex) {
    state.send(
        from,
        new Message.AppendReply(
            false, message.previousIndex(), 0, hintIndex, readSequence, state.diskFull));
  }

  private Message.AppendReply acceptedReply(long previous) {
    long match = Math.min(verifiedIndex, state.syncedIndex);
    return new Message.AppendReply(true, previous, match, 0, readSequence, state.diskFull);
  }

  /**
   * Appends the entries that the log lacks, unless the disk is full, and updates {@link
   * #verifiedIndex}; returns whether any were appended.
   */
  private boolean appendMissing(Message.AppendRequest message) {
    List<LogEntry> entries = message.entries();
    int presentCount = 0;
    while (presentCount < entries.size() && isInLog(entries.get(presentCount))) {
      presentCount++;
    }
    List<LogEntry> missing = entries.subList(presentCount, entries.size());
    if (!state.diskFull) {
      state.append(missing);
      presentCount = entries.size();
    }
    verifiedIndex =
        Math.max(
            verifiedIndex, Math.max(state.commitIndex, message.previousIndex() + presentCount));
    return !missing.isEmpty() && !state.diskFull;
  }

  private boolean isInLog(LogEntry entry) {
    if (entry.index() <= state.log.previousIndex()) {
      return true;
    }
    return state.log.hasTermAt(entry.index()) && state.log.termAt(entry.index()) == entry.term();
  }

  /** Reports the synced index to the leader. */
  void onLogSynced() {
    boolean follows = state.role == Role.FOLLOWER && state.leader != null;
    if (follows && verifiedTerm == state.term) {
      state.send(state.leader, acceptedReply(verifiedIndex));
    }
  }

  void onSnapshotPart(ReplicaId from, Message.SnapshotPart part) {
    followLeader(from);
    readSequence = Math.max(readSequence, part.readSequence());
    if (!state.isBlank() && part.image().index() <= state.commitIndex) {
      replyToPart(from, part, part.totalBytes() + 1);
      return;
    }
    if (!isSameSnapshot(part.image())) {
      partialSnapshot = part.image();
      receivedBytes.reset();
    }
    if (part.offset() == receivedBytes.size()) {
      receivedBytes.writeBytes(part.image().data());
    }
    if (receivedBytes.size() < part.totalBytes()) {
      replyToPart(from, part, receivedBytes.size());
      return;
    }
    install(receivedBytes.toByteArray());
    replyToPart(from, part, part.totalBytes() + 1);
  }

  private boolean isSameSnapshot(SnapshotImage image) {
    return partialSnapshot != null
        && partialSnapshot.index() == image.index()
        && partialSnapshot.term() == image.term()
        && partialSnapshot.groupId() == image.groupId();
  }

  private void replyToPart(ReplicaId to, Message.SnapshotPart part, long nextOffset) {
    state.send(to, new Message.SnapshotReply(part.image().index(), nextOffset, readSequence));
  }

  private void install(byte[] data) {
    SnapshotImage image =
        new SnapshotImage(
            partialSnapshot.index(),
            partialSnapshot.term(),
            partialSnapshot.groupId(),
            partialSnapshot.voters(),
            data);
    partialSnapshot = null;
    receivedBytes.reset();
    boolean termIsKnown = !state.isBlank() && state.log.hasTermAt(image.index());
    if (termIsKnown && state.log.termAt(image.index()) == image.term()) {
      state.commitTo(image.index());
    } else {
      state.installSnapshot(image);
    }
    verifiedIndex = Math.max(verifiedIndex, image.index());
  }
}
