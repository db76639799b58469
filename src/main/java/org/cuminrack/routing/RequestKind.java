package org.cuminrack.routing;

/** Whether a route's requests may be retried, and the form of their responses. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT(true, false),
  /** Runs at most once; its response is not streamed. */
  AT_MOST_ONCE(false, false),
  /** Runs at most once; its response is a stream of events. */
  EVENT_STREAM(false, true);

  private final boolean retryable;
  private final boolean streamed;

  RequestKind(boolean retryable, boolean streamed) {
    this.retryable = retryable;
    this.streamed = streamed;
  }

  /** Returns whether a request may be sent again although it may have run. */
  public boolean isRetryable() {
    return retryable;
  }

  /** Returns whether the response is a stream of events that is forwarded event by event. */
  public boolean isStreamed() {
    return streamed;
  }
}
