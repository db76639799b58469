package org.cuminrack.time;

import java.time.Instant;

/** The time as one process sees it. Passed in everywhere, so that tests set it by hand. */
public interface Clock {

  /** Nanoseconds on a clock that never goes back; only differences mean something. */
  long nanoTime();

  /** The wall clock's time; for logs and answers, never for leases. */
  Instant now();

  /** Returns the clock of the machine. */
  static Clock system() {
    return SystemClock.INSTANCE;
  }
}
