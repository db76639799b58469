package org.cuminrack.pool;

import java.util.Collection;

/**
 * Work that an upstream may have from a former owner whose tickets this owner does not know. It
 * counts as unknown, and the upstream gets nothing, until a report tells of it that is so young
 * that all of the former owner's requests are in it; from then on it only shrinks.
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

  /** No former owner can have given the upstream work that isn't known. */
  static InheritedWork none() {
    return new InheritedWork(false);
  }

  /** A former owner may have given it work, and may still do so. */
  static InheritedWork unknown() {
    return new InheritedWork(true);
  }

  /** The former owner has stopped; reports that come from this time on tell of all its work. */
  InheritedWork completeReportsFrom(long nanos) {
    stopped = true;
    completeReportsFromNanos = nanos;
    return this;
  }

  /** A former owner counted so many. */
  static InheritedWork known(int requests) {
    InheritedWork known = none();
    known.add(requests);
    return known;
  }

  /** Counts requests in whose tickets nobody will bring back. */
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
