package org.cuminrack.pool;

import java.util.Collection;

/**
 * Work that an upstream may have from a former owner whose tickets this owner does not know. It
 * counts as unknown, and the upstream gets nothing, until a report tells of it that is so young
 * that all of the former owner's requests are in it; from then on it only shrinks.
 */
final class InheritedWork {
  private static final long IN_EVERY_REPORT_NANOS =
      PoolLimits.DISPATCH_BY.plus(PoolLimits.REPORT_LAG).toNanos();

  private final long knownFromNanos;
  private boolean unknown;
  private int requests;

  private InheritedWork(boolean unknown, long knownFromNanos) {
    this.unknown = unknown;
    this.knownFromNanos = knownFromNanos;
  }

  /** No former owner can have given the upstream work that isn't known. */
  static InheritedWork none() {
    return new InheritedWork(false, 0);
  }

  /** A former owner may have; reports that come from this time on tell of all of it. */
  static InheritedWork unknownUntil(long knownFromNanos) {
    return new InheritedWork(true, knownFromNanos);
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

  void reported(Report report, Collection<RunningRequest> own, long nowNanos) {
    if (unknown && nowNanos - knownFromNanos >= 0) {
      unknown = false;
      requests = report.running() + report.waiting();
      return;
    }
    if (requests > 0) {
      requests = Math.min(requests, others(report, own, nowNanos));
    }
  }

  private static int others(Report report, Collection<RunningRequest> own, long nowNanos) {
    long surelyReported =
        own.stream().filter(each -> each.ageNanos(nowNanos) > IN_EVERY_REPORT_NANOS).count();
    return (int) Math.max(0, report.running() + report.waiting() - surelyReported);
  }
}
