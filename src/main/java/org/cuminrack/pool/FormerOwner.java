package org.cuminrack.pool;

/** What a pool's owner has to expect of those that owned it before. */
final class FormerOwner {
  /** From a former owner's stop until every report tells of all that it admitted. */
  static final long SURELY_REPORTED_NANOS =
      PoolLimits.DISPATCH_BY.plus(PoolLimits.REPORT_LAG).toNanos();

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

  long knownFromNanos() {
    return stoppedNanos + SURELY_REPORTED_NANOS;
  }

  /** Returns the work that an upstream may have which announces itself here for the first time. */
  InheritedWork workOf(long nowNanos) {
    if (mayAdmit) {
      return InheritedWork.unknown();
    }
    boolean longAgo = nowNanos - stoppedNanos > PoolLimits.GONE_AFTER.toNanos();
    if (!stopped || longAgo) {
      return InheritedWork.none();
    }
    return InheritedWork.unknown().stoppedKnownFrom(knownFromNanos());
  }
}
