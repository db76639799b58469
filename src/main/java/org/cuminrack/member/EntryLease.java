package org.cuminrack.member;

import org.cuminrack.control.LeaseSettings;

/**
 * An entry's own lease, on its own monotonic clock. A renewal counts from the instant it was sent,
 * and only once the entry has put in force the revision that its answer carried. Safe for use by
 * many threads.
 */
final class EntryLease {
  private final long usableNanos;
  private boolean held;
  private long sentNanos;
  private boolean waiting;
  private long waitingSentNanos;
  private long waitingRevision;

  EntryLease(LeaseSettings settings) {
    this.usableNanos = settings.usableByEntry().toNanos();
  }

  /**
   * Takes the answer to a renewal.
   *
   * @param revision the state's revision as of the answer
   * @param inForceHere the revision that this entry has put in force
   * @return false while the entry is behind that revision
   */
  synchronized boolean renewed(long renewalSentNanos, long revision, long inForceHere) {
    if (inForceHere >= revision) {
      hold(renewalSentNanos);
      return true;
    }
    waiting = true;
    waitingSentNanos = renewalSentNanos;
    waitingRevision = revision;
    return false;
  }

  /** Tells that the entry has put a revision in force. */
  synchronized void putInForce(long revision) {
    if (waiting && revision >= waitingRevision) {
      waiting = false;
      hold(waitingSentNanos);
    }
  }

  /** Gives the lease up at once. */
  synchronized void drop() {
    held = false;
    waiting = false;
  }

  synchronized boolean isFresh(long nowNanos) {
    return held && nowNanos - sentNanos < usableNanos;
  }

  private void hold(long renewalSentNanos) {
    boolean later = !held || renewalSentNanos - sentNanos > 0;
    if (later) {
      sentNanos = renewalSentNanos;
    }
    held = true;
  }
}
