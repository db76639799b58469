package org.cuminrack.time;

import java.time.Instant;

/** The machine's own clocks. */
enum SystemClock implements Clock {
  INSTANCE;

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public Instant now() {
    return Instant.now();
  }
}
