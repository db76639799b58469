package org.cuminrack.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that only advances when a test advances it. */
public final class ManualClock implements Clock {
  private static final Instant START = Instant.parse("2026-01-31T08:00:00Z");

  private long nanos;

  public synchronized void advance(Duration by) {
    nanos += by.toNanos();
  }

  @Override
  public synchronized long nanoTime() {
    return nanos;
  }

  @Override
  public synchronized Instant now() {
    return START.plusNanos(nanos);
  }
}
