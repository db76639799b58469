package org.cuminrack.pool;

import java.util.Collection;

/**
 * Requests that may still run on an upstream but whose tickets will not be returned: those that a
 * former owner admitted, and orphaned ones of this owner. The number of a former owner's requests
 * may be unknown; the upstream then gets no new requests until a report recent enough to include
 * all of them. After that, reports only lower the number.
 */
final class InheritedWork {
  /** Time after its admission from which on every report includes a request that was sent. */
  private static final long FULLY_REPORTED_AFTER_NANOS =
      PoolLimits.DISPATCH_TIMEOUT.plus(PoolLimits.MAX_REPORT_AGE).toNanos();

  private boolean countUnknown;
  private boolean formerOwnerHasStopped;
  private long completeReportsFromNanos;
  private int requests;

  private InheritedWork(boolean countUnknown) {
    this.countUnknown = countUnknown;
  }

  /** Returns no inherited work: no former owner can have admitted requests unknown to this one. */
  static InheritedWork none() {
    return new InheritedWork(false);
  }

  /**
   * Returns inherited work of an unknown number of requests: a former owner may have admitted some,
   * and may still do so.
   */
  static InheritedWork ofUnknownCount() {
    return new InheritedWork(true);
  }

  /**
   * Records that the former owner has stopped; reports received from the given time on include all
   * its requests.
   */
  InheritedWork formerOwnerStopped(long completeFromNanos) {
    formerOwnerHasStopped = true;
    completeReportsFromNanos = completeFromNanos;
    return this;
  }

  /** Returns inherited work of the number of requests that a former owner handed over. */
  static InheritedWork ofCount(int requests) {
    InheritedWork work = none();
    work.add(requests);
    return work;
  }

  /** Adds requests that may still run although their tickets will not be returned. */
  void add(int count) {
    requests += count;
  }

  boolean isCountUnknown() {
    return countUnknown;
  }

  int requests() {
    return requests;
  }

  /** Adapts the number of requests to a report. */
  void reported(Report report, Collection<RunningRequest> ownRequests, long nowNanos) {
    if (countUnknown && formerOwnerHasStopped && nowNanos - completeReportsFromNanos >= 0) {
      countUnknown = false;
      requests = report.running() + report.waiting();
      return;
    }
    if (requests > 0) {
      requests = Math.min(requests, reportedInheritedRequests(report, ownRequests, nowNanos));
    }
  }

  private static int reportedInheritedRequests(
      Report report, Collection<RunningRequest> ownRequests, long nowNanos) {
    long ownReported =
        ownRequests.stream()
            .filter(each -> each.ageNanos(nowNanos) > FULLY_REPORTED_AFTER_NANOS)
            .count();
    return (int) Math.max(0, report.running() + report.waiting() - ownReported);
  }
}
