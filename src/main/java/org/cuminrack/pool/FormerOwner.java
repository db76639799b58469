package org.cuminrack.pool;

/** Tracks whether former owners of a pool may have admitted requests unknown to the current one. */
final class FormerOwner {
  /** Time after a former owner's stop until every report includes all requests that it admitted. */
  static final long FULLY_REPORTED_AFTER_NANOS =
      PoolLimits.DISPATCH_TIMEOUT.plus(PoolLimits.MAX_REPORT_AGE).toNanos();

  private boolean mayAdmit;
  private boolean stopped;
  private long stoppedNanos;

  void recordMayAdmit() {
    mayAdmit = true;
  }

  void stopped(long atNanos) {
    mayAdmit = false;
    stopped = true;
    stoppedNanos = atNanos;
  }

  /** Returns the time from which on reports include all requests that former owners admitted. */
  long completeReportsFromNanos() {
    return stoppedNanos + FULLY_REPORTED_AFTER_NANOS;
  }

  /** Returns the inherited work of a newly added boot of an upstream. */
  InheritedWork inheritedWork(long nowNanos) {
    if (mayAdmit) {
      return InheritedWork.ofUnknownCount();
    }
    boolean expired = nowNanos - stoppedNanos > PoolLimits.REMOVE_AFTER.toNanos();
    if (!stopped || expired) {
      return InheritedWork.none();
    }
    return InheritedWork.ofUnknownCount().formerOwnerStopped(completeReportsFromNanos());
  }
}
