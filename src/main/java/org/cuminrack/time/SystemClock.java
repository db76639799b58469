package org.cuminrack.time;

import java.time.Instant;

/** The clocks of the operating system. */
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
