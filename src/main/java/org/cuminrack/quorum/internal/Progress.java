package org.cuminrack.quorum.internal;

/** What a leader knows of another replica. */
final class Progress {
  /** Up to here its log is the leader's and synced. */
  long matchIndex;

  /** The next entry to send. */
  long nextIndex;

  /** No more than one message with entries goes out before the logs are known to meet. */
  boolean probing = true;

  boolean mayProbe = true;
  boolean diskFull;
  long contactNanos;
  long sentNanos;
  long sentReadSequence;
  long ackedReadSequence;

  /** The snapshot being sent; null if none. */
  SnapshotImage snapshot;

  long snapshotOffset;
  boolean snapshotPartDue;

  Progress(long nextIndex, long now) {
    this.nextIndex = nextIndex;
    this.contactNanos = now;
    this.sentNanos = now;
  }

  void beginSnapshot(SnapshotImage image) {
    snapshot = image;
    snapshotOffset = 0;
    snapshotPartDue = true;
  }

  /** Goes on with the entries after the snapshot. */
  void endSnapshot() {
    nextIndex = Math.max(matchIndex, snapshot.index()) + 1;
    snapshot = null;
    probing = true;
    mayProbe = true;
  }
}
