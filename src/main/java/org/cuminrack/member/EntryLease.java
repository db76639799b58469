package org.cuminrack.member;

import org.cuminrack.control.LeaseSettings;

/**
 * An entry's lease as tracked by the entry, on its monotonic clock. A renewal counts from the
 * instant it was sent, and only once the entry has applied the revision in its reply. Thread-safe.
 */
final class EntryLease {
  private final long validNanos;
  private boolean granted;
  private long sentNanos;
  private boolean renewalPending;
  private long pendingSentNanos;
  private long pendingRevision;

  EntryLease(LeaseSettings settings) {
    this.validNanos = settings.expiryAtEntry().toNanos();
  }

  /**
   * Handles the reply to a renewal.
   *
   * @param revision the state's revision in the reply
   * @param appliedRevision the revision that this entry has applied
   * @return false if the entry is behind that revision; the renewal then stays pending
   */
  synchronized boolean onRenewed(long renewalSentNanos, long revision, long appliedRevision) {
    if (appliedRevision >= revision) {
      extend(renewalSentNanos);
      return true;
    }
    renewalPending = true;
    pendingSentNanos = renewalSentNanos;
    pendingRevision = revision;
    return false;
  }

  /** Completes a pending renewal if the entry has now applied its revision. */
  synchronized void onApplied(long revision) {
    if (renewalPending && revision >= pendingRevision) {
      renewalPending = false;
      extend(pendingSentNanos);
    }
  }

  /** Releases the lease immediately. */
  synchronized void release() {
    granted = false;
    renewalPending = false;
  }

  synchronized boolean isValid(long nowNanos) {
    return granted && nowNanos - sentNanos < validNanos;
  }

  private void extend(long renewalSentNanos) {
    boolean isLater = !granted || renewalSentNanos - sentNanos > 0;
    if (isLater) {
      sentNanos = renewalSentNanos;
    }
    granted = true;
  }
}
