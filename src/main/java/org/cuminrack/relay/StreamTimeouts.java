package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.time.Clock;

/** The timeouts of an engine stream, and the backoff between its connections. */
final class StreamTimeouts {
  private static final long INITIAL_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;

  private final Clock clock;
  private final RelayBounds bounds;
  private long lastDataNanos;
  private long lastTokenNanos;
  private long connectionOpenedNanos;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private boolean hasReceivedToken;

  StreamTimeouts(Clock clock, RelayBounds bounds) {
    this.clock = clock;
    this.bounds = bounds;
    dataReceived();
    lastTokenNanos = lastDataNanos;
    connectionOpened();
  }

  /** Records that a connection is being opened. */
  void connectionOpened() {
    connectionOpenedNanos = clock.nanoTime();
  }

  /** Records that data was received from the engine. */
  void dataReceived() {
    lastDataNanos = clock.nanoTime();
  }

  /** Records that a token was received; also called when a generation or reading it is resumed. */
  void tokenReceived() {
    dataReceived();
    lastTokenNanos = lastDataNanos;
    hasReceivedToken = true;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
  }

  /** Returns the delay before the next connection; doubles up to a limit until a token arrives. */
  long nextBackoffMillis() {
    long current = backoffMillis;
    backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
    return current;
  }

  /** Returns whether the current connection is considered dead because it delivers no data. */
  boolean isSilent() {
    return hasElapsed(lastDataNanos, bounds.silenceTimeout())
        && hasElapsed(connectionOpenedNanos, bounds.silenceTimeout());
  }

  /**
   * Returns whether the engine is considered lost. The timeout is shorter before the first token,
   * while the request can still be retried on another engine.
   */
  boolean isUnreachable() {
    return hasElapsed(
        lastDataNanos,
        hasReceivedToken ? bounds.engineLossTimeout() : bounds.silenceTimeout().multipliedBy(2));
  }

  /** Returns whether the generation is considered lost because it produces no tokens. */
  boolean isStalled() {
    return hasElapsed(lastTokenNanos, bounds.stallTimeout());
  }

  private boolean hasElapsed(long sinceNanos, Duration timeout) {
    return clock.nanoTime() - sinceNanos > timeout.toNanos();
  }
}
