package org.cuminrack.quorum.internal;

import java.io.ByteArrayOutputStream;
import java.util.List;

/** What a replica does with a leader's messages. */
final class Following {
  private final CoreState state;
  private final ByteArrayOutputStream parts = new ByteArrayOutputStream();
  private SnapshotImage partial;
  private long verifiedIndex;
  private long verifiedTerm;
  private long readSequence;

  Following(CoreState state) {
    this.state = state;
  }

  void onAppend(ReplicaId from, Message.Append message) {
    followInThisTerm(from);
    readSequence = Math.max(readSequence, message.readSequence());
    long previous = message.previousIndex();
    if (previous > state.log.lastIndex()) {
      reject(from, message, state.log.lastIndex());
      return;
    }
    boolean covered = previous < state.log.previousIndex();
    if (!covered && state.log.termAt(previous) != message.previousTerm()) {
      long hint = Math.max(state.log.firstOfTerm(previous) - 1, state.commitIndex);
      reject(from, message, hint);
      return;
    }
    boolean appended = appendNew(message);
    state.commitTo(Math.min(message.commit(), verifiedIndex));
    if (!appended) {
      state.send(from, accepted(previous));
    }
  }

  private void followInThisTerm(ReplicaId from) {
    if (state.role == Role.LEADER) {
      throw new IllegalStateException("two leaders in term " + state.term + ": " + from);
    }
    if (state.role != Role.BLANK) {
      state.role = Role.FOLLOWER;
    }
    state.heardFromLeader(from);
    if (verifiedTerm != state.term) {
      verifiedTerm = state.term;
      verifiedIndex = state.commitIndex;
      readSequence = 0;
    }
  }

  private void reject(ReplicaId from, Message.Append message, long hint) {
    state.send(
        from,
        new Message.AppendReply(
            false, message.previousIndex(), 0, hint, readSequence, state.diskFull));
  }

  private Message.AppendReply accepted(long previous) {
    long match = Math.min(verifiedIndex, state.durableIndex);
    return new Message.AppendReply(true, previous, match, 0, readSequence, state.diskFull);
  }

  private boolean appendNew(Message.Append message) {
    List<LogEntry> entries = message.entries();
    int known = 0;
    while (known < entries.size() && isHere(entries.get(known))) {
      known++;
    }
    List<LogEntry> missing = entries.subList(known, entries.size());
    if (!state.diskFull) {
      state.append(missing);
      known = entries.size();
    }
    verifiedIndex =
        Math.max(verifiedIndex, Math.max(state.commitIndex, message.previousIndex() + known));
    return !missing.isEmpty() && !state.diskFull;
  }

  private boolean isHere(LogEntry entry) {
    if (entry.index() <= state.log.previousIndex()) {
      return true;
    }
    return state.log.knows(entry.index()) && state.log.termAt(entry.index()) == entry.term();
  }

  /** Tells the leader how far the log is synced now. */
  void onLogSynced() {
    boolean follows = state.role == Role.FOLLOWER && state.leader != null;
    if (follows && verifiedTerm == state.term) {
      state.send(state.leader, accepted(verifiedIndex));
    }
  }

  void onSnapshotPart(ReplicaId from, Message.SnapshotPart part) {
    followInThisTerm(from);
    readSequence = Math.max(readSequence, part.readSequence());
    if (!state.isBlank() && part.image().index() <= state.commitIndex) {
      answerPart(from, part, part.totalBytes() + 1);
      return;
    }
    if (!isSameSnapshot(part.image())) {
      partial = part.image();
      parts.reset();
    }
    if (part.offset() == parts.size()) {
      parts.writeBytes(part.image().data());
    }
    if (parts.size() < part.totalBytes()) {
      answerPart(from, part, parts.size());
      return;
    }
    install(parts.toByteArray());
    answerPart(from, part, part.totalBytes() + 1);
  }

  private boolean isSameSnapshot(SnapshotImage image) {
    return partial != null
        && partial.index() == image.index()
        && partial.term() == image.term()
        && partial.groupId() == image.groupId();
  }

  private void answerPart(ReplicaId to, Message.SnapshotPart part, long nextOffset) {
    state.send(to, new Message.SnapshotReply(part.image().index(), nextOffset, readSequence));
  }

  private void install(byte[] data) {
    SnapshotImage image =
        new SnapshotImage(
            partial.index(), partial.term(), partial.groupId(), partial.voters(), data);
    partial = null;
    parts.reset();
    boolean known = !state.isBlank() && state.log.knows(image.index());
    if (known && state.log.termAt(image.index()) == image.term()) {
      state.commitTo(image.index());
    } else {
      state.begin(image);
    }
    verifiedIndex = Math.max(verifiedIndex, image.index());
  }
}
