package org.cuminrack.time;

import java.time.Instant;

/** The source of time of a process; injected, so that tests can control the time. */
public interface Clock {

  /** Returns the time of a monotonic clock in nanoseconds; only differences are meaningful. */
  long nanoTime();

  /** Returns the wall-clock time; for logs and responses, never for leases. */
  Instant now();

  /** Returns the system clock. */
  static Clock system() {
    return SystemClock.INSTANCE;
  }
}
