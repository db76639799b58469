package org.cuminrack.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events within a window that ends now. Not thread-safe. */
final class RecentEvents {
  private final Deque<Long> timesNanos = new ArrayDeque<>();

  void add(long nowNanos) {
    timesNanos.addLast(nowNanos);
  }

  /**
   * Returns the events within the window; forgets older ones, so that a later call with a longer
   * window does not count them.
   */
  int count(Duration window, long nowNanos) {
    while (!timesNanos.isEmpty() && nowNanos - timesNanos.getFirst() > window.toNanos()) {
      timesNanos.removeFirst();
    }
    return timesNanos.size();
  }
}
