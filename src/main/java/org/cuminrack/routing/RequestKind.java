package org.cuminrack.routing;

/** What may be repeated of a route's requests. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT(true, false),
  /** Runs at most once; its answer comes whole. */
  AT_MOST_ONCE(false, false),
  /** Runs at most once; its answer is a stream of events. */
  EVENT_STREAM(false, true);

  private final boolean repeatable;
  private final boolean streamed;

  RequestKind(boolean repeatable, boolean streamed) {
    this.repeatable = repeatable;
    this.streamed = streamed;
  }

  /** Tells whether a request may be sent again although it may have run. */
  public boolean isRepeatable() {
    return repeatable;
  }

  /** Tells whether the answer is passed on event by event. */
  public boolean isStreamed() {
    return streamed;
  }
}
