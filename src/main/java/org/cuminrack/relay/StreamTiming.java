package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.time.Clock;

/** When an engine was last heard, and how long to wait for it. */
final class StreamTiming {
  private static final long FIRST_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;

  private final Clock clock;
  private final RelayBounds bounds;
  private long heardNanos;
  private long tokenNanos;
  private long openedNanos;
  private long backoffMillis = FIRST_BACKOFF_MILLIS;
  private boolean begun;

  StreamTiming(Clock clock, RelayBounds bounds) {
    this.clock = clock;
    this.bounds = bounds;
    heard();
    tokenNanos = heardNanos;
    opened();
  }

  /** A connection is being made. */
  void opened() {
    openedNanos = clock.nanoTime();
  }

  /** The engine has said something. */
  void heard() {
    heardNanos = clock.nanoTime();
  }

  /** A token has come, or the caller has some already. */
  void token() {
    heard();
    tokenNanos = heardNanos;
    begun = true;
    backoffMillis = FIRST_BACKOFF_MILLIS;
  }

  /** Returns how long to wait before the next connection; each wait is longer. */
  long nextBackoffMillis() {
    long now = backoffMillis;
    backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
    return now;
  }

  /** Tells whether the present connection counts as dead. */
  boolean isSilent() {
    return exceeds(heardNanos, bounds.silence()) && exceeds(openedNanos, bounds.silence());
  }

  /** Tells whether the engine counts as lost: earlier while another one could still begin. */
  boolean isOutOfReach() {
    return exceeds(heardNanos, begun ? bounds.engineLoss() : bounds.silence().multipliedBy(2));
  }

  /** Tells whether the generation counts as lost. */
  boolean isStalled() {
    return exceeds(tokenNanos, bounds.stall());
  }

  private boolean exceeds(long sinceNanos, Duration bound) {
    return clock.nanoTime() - sinceNanos > bound.toNanos();
  }
}
