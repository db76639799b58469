package org.cuminrack.pool;

/** What a pool's owner has to expect of those that owned it before. */
final class FormerOwner {
  /** From a former owner's stop until every report tells of all that it admitted. */
  static final long FULLY_REPORTED_AFTER_NANOS =
      PoolLimits.DISPATCH_TIMEOUT.plus(PoolLimits.MAX_REPORT_AGE).toNanos();

  private boolean mayAdmit;
  private boolean stopped;
  private long stoppedNanos;

  void mayAdmit() {
    mayAdmit = true;
  }

  void stopped(long atNanos) {
    mayAdmit = false;
    stopped = true;
    stoppedNanos = atNanos;
  }

  long completeReportsFromNanos() {
    return stoppedNanos + FULLY_REPORTED_AFTER_NANOS;
  }

  /** Returns the work that an upstream may have which announces itself here for the first time. */
  InheritedWork inheritedWork(long nowNanos) {
    if (mayAdmit) {
      return InheritedWork.unknown();
    }
    boolean expired = nowNanos - stoppedNanos > PoolLimits.REMOVE_AFTER.toNanos();
    if (!stopped || expired) {
      return InheritedWork.none();
    }
    return InheritedWork.unknown().completeReportsFrom(completeReportsFromNanos());
  }
}
