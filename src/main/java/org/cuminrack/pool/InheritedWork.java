package org.cuminrack.pool;

import java.util.Collection;

/**
 * Requests that may still run on an upstream but whose tickets will not be returned: those that a
 * former owner admitted, and orphaned ones of this owner. The number of a former owner's requests
 * may be unknown; the upstream then gets no new requests until a report recent enough to include
 * all of them. Later reports can only lower the number.
 */
final class InheritedWork {
  private static final long FULLY_REPORTED_AFTER_NANOS =
      PoolLimits.DISPATCH_TIMEOUT.plus(PoolLimits.MAX_REPORT_AGE).toNanos();

  private boolean unknown;
  private boolean stopped;
  private long completeReportsFromNanos;
  private int requests;

  private InheritedWork(boolean unknown) {
    this.unknown = unknown;
  }

  /** Returns the state if no former owner can have admitted unknown requests. */
  static InheritedWork none() {
    return new InheritedWork(false);
  }

  /**
   * Returns the state if a former owner may have admitted unknown requests, and may still do so.
   */
  static InheritedWork unknown() {
    return new InheritedWork(true);
  }

  /**
   * Records that the former owner has stopped; reports received from the given time on include all
   * its requests.
   */
  InheritedWork formerOwnerStopped(long completeFromNanos) {
    stopped = true;
    completeReportsFromNanos = completeFromNanos;
    return this;
  }

  /** Returns the state for a number of requests handed over by a former owner. */
  static InheritedWork known(int requests) {
    InheritedWork known = none();
    known.add(requests);
    return known;
  }

  /** Adds requests of this owner that may still run although their tickets are lost. */
  void add(int more) {
    requests += more;
  }

  boolean isUnknown() {
    return unknown;
  }

  int requests() {
    return requests;
  }

  void reported(Report report, Collection<RunningRequest> ownRequests, long nowNanos) {
    if (unknown && stopped && nowNanos - completeReportsFromNanos >= 0) {
      unknown = false;
      requests = report.running() + report.waiting();
      return;
    }
    if (requests > 0) {
      requests = Math.min(requests, unknownRequests(report, ownRequests, nowNanos));
    }
  }

  private static int unknownRequests(
      Report report, Collection<RunningRequest> ownRequests, long nowNanos) {
    long ownReported =
        ownRequests.stream()
            .filter(each -> each.ageNanos(nowNanos) > FULLY_REPORTED_AFTER_NANOS)
            .count();
    return (int) Math.max(0, report.running() + report.waiting() - ownReported);
  }
}
