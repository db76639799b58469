package org.cuminrack.fleet;

import java.time.Duration;
import java.util.List;

/**
 * When one control VM has heard of an upstream. All times are on this process's monotonic clock.
 *
 * @param late whether it says that the announcement is late
 * @param statedNanos when it last said so
 * @param receivedNanos when it probably received the last announcement
 * @param earliestNanos a time that the last announcement was not received before
 */
record HeardUpstream(boolean late, long statedNanos, long receivedNanos, long earliestNanos) {
  /** About the mean age of announcements that are not late. */
  private static final Duration RECENT_AGE = Duration.ofMillis(600);

  /** A control VM that answers does so within this time. */
  private static final Duration MAX_STATEMENT_AGE = Duration.ofSeconds(1);

  /** Returns this with a later statement that the announcement is not late. */
  HeardUpstream renewed(long renewedNanos) {
    return new HeardUpstream(
        false,
        renewedNanos,
        later(receivedNanos, renewedNanos - RECENT_AGE.toNanos()),
        later(earliestNanos, renewedNanos - AnnouncementWatch.LATE_AFTER.toNanos()));
  }

  /**
   * Returns when an upstream's last announcement was received by any control VM. The VM that heard
   * last counts: one that is cut off from upstreams calls all of them late. What a VM said that has
   * stopped answering counts as little as possible if another one says that the announcement is
   * late.
   */
  static long lastReceivedNanos(List<HeardUpstream> statements, long nowNanos) {
    boolean someLate = statements.stream().anyMatch(statement -> statement.late);
    boolean someFresh =
        statements.stream().anyMatch(statement -> !statement.late && statement.isFresh(nowNanos));
    long last = statements.get(0).earliestNanos;
    for (HeardUpstream statement : statements) {
      boolean doubtful = someLate && !(someFresh && statement.isFresh(nowNanos));
      last = later(last, doubtful ? statement.earliestNanos : statement.receivedNanos);
    }
    return last;
  }

  private boolean isFresh(long nowNanos) {
    return nowNanos - statedNanos <= MAX_STATEMENT_AGE.toNanos();
  }

  private static long later(long a, long b) {
    return a - b > 0 ? a : b;
  }
}
