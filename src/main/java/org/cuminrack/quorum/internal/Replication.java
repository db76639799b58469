package org.cuminrack.quorum.internal;

import java.util.Arrays;
import java.util.List;

/** Sends entries, heartbeats and snapshots from the leader to the other replicas. */
final class Replication {
  private static final int MAX_BATCH_BYTES = 1 << 20;
  private static final int MAX_ENTRIES_IN_FLIGHT = 4096;
  private static final int SNAPSHOT_PART_BYTES = 256 << 10;
  private static final int SNAPSHOT_RESEND_HEARTBEATS = 4;

  private final CoreState state;
  private final Leadership leadership;

  Replication(CoreState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
  }

  /** Sends all messages that are due. */
  void sendDue() {
    leadership.progress().forEach(this::sendDueTo);
  }

  /** Returns the time of the next heartbeat. */
  long nextDeadlineNanos() {
    long next = state.nowNanos + state.timing.heartbeatNanos();
    for (Progress peer : leadership.progress().values()) {
      next = Math.min(next, peer.lastSentNanos + state.timing.heartbeatNanos());
    }
    return next;
  }

  private void sendDueTo(ReplicaId replica, Progress peer) {
    if (peer.snapshot == null && peer.nextIndex - 1 < state.log.previousIndex()) {
      peer.beginSnapshot(state.snapshot);
    }
    if (peer.snapshot != null) {
      sendSnapshotPartIfDue(replica, peer);
      return;
    }
    boolean entriesDue = entriesAreDue(peer);
    boolean heartbeatDue = state.nowNanos - peer.lastSentNanos >= state.timing.heartbeatNanos();
    boolean readDue = peer.sentReadSequence < leadership.readSequence();
    if (entriesDue || heartbeatDue || readDue) {
      sendAppend(replica, peer, entriesDue || (heartbeatDue && peer.probing));
    }
  }

  private boolean entriesAreDue(Progress peer) {
    if (peer.nextIndex > state.log.lastIndex() || peer.diskFull) {
      return false;
    }
    if (peer.probing) {
      return peer.mayProbe;
    }
    return peer.nextIndex - 1 - peer.matchIndex < MAX_ENTRIES_IN_FLIGHT;
  }

  private void sendAppend(ReplicaId replica, Progress peer, boolean withEntries) {
    long previous = peer.nextIndex - 1;
    List<LogEntry> entries =
        withEntries ? state.log.entriesFrom(peer.nextIndex, MAX_BATCH_BYTES) : List.of();
    long previousTerm = state.log.termAt(previous);
    long sequence = leadership.readSequence();
    state.sendImmediately(
        replica,
        new Message.AppendRequest(previous, previousTerm, entries, state.commitIndex, sequence));
    if (!peer.probing) {
      peer.nextIndex += entries.size();
    }
    peer.mayProbe = false;
    peer.lastSentNanos = state.nowNanos;
    peer.sentReadSequence = sequence;
  }

  private void sendSnapshotPartIfDue(ReplicaId replica, Progress peer) {
    long resendNanos = SNAPSHOT_RESEND_HEARTBEATS * state.timing.heartbeatNanos();
    boolean resendDue = state.nowNanos - peer.lastSentNanos >= resendNanos;
    if (!peer.snapshotPartDue && !resendDue) {
      return;
    }
    SnapshotImage image = peer.snapshot;
    int from = (int) peer.snapshotOffset;
    int to = Math.min(image.data().length, from + SNAPSHOT_PART_BYTES);
    byte[] bytes = Arrays.copyOfRange(image.data(), from, to);
    SnapshotImage part =
        new SnapshotImage(image.index(), image.term(), image.groupId(), image.voters(), bytes);
    state.send(
        replica,
        new Message.SnapshotPart(part, from, image.data().length, leadership.readSequence()));
    peer.snapshotPartDue = false;
    peer.lastSentNanos = state.nowNanos;
    peer.sentReadSequence = leadership.readSequence();
  }

  void onSnapshotReply(ReplicaId from, Message.SnapshotReply reply) {
    Progress peer = leadership.progress().get(from);
    if (peer == null) {
      return;
    }
    leadership.recordContact(peer, reply.readSequence());
    if (peer.snapshot == null || peer.snapshot.index() != reply.index()) {
      return;
    }
    if (reply.nextOffset() > peer.snapshot.data().length) {
      peer.endSnapshot();
      return;
    }
    peer.snapshotOffset = reply.nextOffset();
    peer.snapshotPartDue = true;
  }
}
