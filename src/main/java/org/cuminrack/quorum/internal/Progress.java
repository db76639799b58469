package org.cuminrack.quorum.internal;

/** The replication state of another replica, as tracked by the leader. */
final class Progress {
  /** The index up to which the replica's log is synced and matches the leader's. */
  long matchIndex;

  /** The index of the next entry to send. */
  long nextIndex;

  /** Limits messages with entries to one in flight until a matching index is found. */
  boolean probing = true;

  /** Whether a probe may be sent at once; otherwise it waits for a reply or the next heartbeat. */
  boolean mayProbe = true;

  boolean diskFull;
  long lastContactNanos;
  long lastSentNanos;

  /** The highest {@link PendingReads#sequence()} sent to the replica. */
  long sentReadSequence;

  /** The highest {@link PendingReads#sequence()} repeated in a reply of the replica. */
  long acknowledgedReadSequence;

  /** The snapshot in transfer; null if none. */
  SnapshotImage snapshot;

  long snapshotOffset;
  boolean snapshotPartDue;

  /** The replica's data centre, from the voter set or its hello; empty if unknown. */
  String dataCentre = "";

  Progress(long nextIndex, long nowNanos) {
    this.nextIndex = nextIndex;
    this.lastContactNanos = nowNanos;
    this.lastSentNanos = nowNanos;
  }

  void beginSnapshot(SnapshotImage image) {
    snapshot = image;
    snapshotOffset = 0;
    snapshotPartDue = true;
  }

  /** Ends the transfer and continues with the entries after the snapshot. */
  void endSnapshot() {
    nextIndex = Math.max(matchIndex, snapshot.index()) + 1;
    snapshot = null;
    probing = true;
    mayProbe = true;
  }
}
