package org.cuminrack.fleet;

import java.time.Duration;
import org.cuminrack.time.Clock;

/**
 * Decides when pending watch calls are answered after changes, so that one response has many
 * changes: each response goes to every gateway. Thread-safe; no callback runs under the lock.
 */
final class ResponseSchedule {
  /** The least time between responses to changes that callers wait for. */
  static final Duration URGENT_INTERVAL = Duration.ofMillis(20);

  private final Runnable respond;
  private final Timer timer;
  private final Clock clock;
  private Due due;
  private boolean responded;
  private long lastUrgentNanos;

  /**
   * Creates a schedule without a planned response.
   *
   * @param respond answers the pending calls
   */
  ResponseSchedule(Runnable respond, Timer timer, Clock clock) {
    this.respond = respond;
    this.timer = timer;
    this.clock = clock;
  }

  /** Responds at once, or a little later if it has just done so. */
  void respondUrgently() {
    long nowNanos = clock.nanoTime();
    boolean atOnce;
    synchronized (this) {
      atOnce = !responded || nowNanos - lastUrgentNanos >= URGENT_INTERVAL.toNanos();
      if (atOnce) {
        responded = true;
        lastUrgentNanos = nowNanos;
        due = null;
      }
    }
    if (atOnce) {
      respond.run();
    } else {
      respondWithin(URGENT_INTERVAL);
    }
  }

  /** Responds after a delay, unless it responds before anyway. */
  void respondWithin(Duration delay) {
    Due planned = new Due(clock.nanoTime() + delay.toNanos());
    synchronized (this) {
      if (due != null && due.atNanos <= planned.atNanos) {
        return;
      }
      due = planned;
    }
    if (!timer.runAfter(delay, () -> respondIfDue(planned))) {
      forget(planned);
    }
  }

  private synchronized void forget(Due planned) {
    if (due == planned) {
      due = null;
    }
  }

  private void respondIfDue(Due planned) {
    synchronized (this) {
      if (due != planned) {
        return;
      }
      due = null;
    }
    respond.run();
  }

  /** A planned response; compared by identity. */
  private static final class Due {
    private final long atNanos;

    Due(long atNanos) {
      this.atNanos = atNanos;
    }
  }
}
