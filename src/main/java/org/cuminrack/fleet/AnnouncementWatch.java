package org.cuminrack.fleet;

import java.time.Duration;

/**
 * Finds late announcements at a control VM. After a time in which this process did not run, the
 * announcements that wait to be read may make none of the upstreams late, so that nothing is said
 * of them for a while. Thread-safe.
 */
final class AnnouncementWatch {
  /** How often late announcements are looked for. */
  static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  /**
   * The age at which an announcement is late. Upstreams repeat them every 1.2 s, and another
   * control VM shares them within 0.5 s; engines count as silent after 2.6 s.
   */
  static final Duration LATE_AFTER = Duration.ofMillis(1800);

  private static final Duration MAX_CHECK_DELAY = Duration.ofSeconds(1);

  /** Longer than it takes to read what arrived while this process did not run. */
  private static final Duration RECOVERY_TIME = Duration.ofMillis(500);

  private final UpstreamTable upstreams;
  private long lastCheckNanos;
  private long recoveredAtNanos;
  private boolean checked = true;

  AnnouncementWatch(UpstreamTable upstreams, long nowNanos) {
    this.upstreams = upstreams;
    this.lastCheckNanos = nowNanos;
    this.recoveredAtNanos = nowNanos;
  }

  /** Marks the upstreams whose announcements are late; returns whether there are new ones. */
  synchronized boolean check(long nowNanos) {
    if (hasStalled(nowNanos)) {
      recoveredAtNanos = nowNanos + RECOVERY_TIME.toNanos();
    }
    lastCheckNanos = nowNanos;
    checked = nowNanos - recoveredAtNanos >= 0;
    return checked && upstreams.markLate(LATE_AFTER, nowNanos);
  }

  /**
   * Returns whether the upstreams of an answer and of all answers before are heard of, apart from
   * those that are late.
   */
  synchronized boolean hasHeardRecently(UpstreamChanges changes, long nowNanos) {
    return changes.complete() && checked && !hasStalled(nowNanos);
  }

  private boolean hasStalled(long nowNanos) {
    return nowNanos - lastCheckNanos > MAX_CHECK_DELAY.toNanos();
  }
}
