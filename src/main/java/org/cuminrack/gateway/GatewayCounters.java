package org.cuminrack.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests by outcome, and dispatches of requests to upstreams. Thread-safe. */
public final class GatewayCounters {
  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);
  private final AtomicInteger running = new AtomicInteger();

  /** Counted events. */
  public enum Kind {
    /** Requests received. */
    REQUESTS,
    /** Requests answered with the response of an upstream. */
    ANSWERED,
    /** Requests that ended with an error of the gateway and that no upstream has run. */
    REFUSED,
    /** Requests that ended with an error of the gateway or were aborted, and that may have run. */
    FAILED,
    /** Requests whose caller disconnected before the response was complete. */
    CALLERS_GONE,
    /** Requests given up while an upstream worked on them, whatever the reason. */
    GIVEN_UP_SENDS,
    /** Dispatches of requests to upstreams, including those that could not be sent. */
    SENDS,
    /** Retries of plain requests, except after a dispatch that could not be sent. */
    REPEATED_SENDS,
    /** Event streams resumed on another engine. */
    RESUMED_STREAMS,
    /** Dispatches whose upstream or connection was lost before the response was complete. */
    LOST_SENDS,
    /** Dispatches that another upstream than the intended one refused. */
    MISDIRECTED_SENDS,
    /** Retries that were not made because the retry budget was exhausted. */
    RETRIES_DENIED,
    /** Requests placed on an upstream in another data centre than the gateway. */
    CROSSING_SENDS
  }

  GatewayCounters() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void add(Kind kind) {
    counts.get(kind).increment();
  }

  void requestStarted() {
    add(Kind.REQUESTS);
    running.incrementAndGet();
  }

  void requestEnded() {
    running.decrementAndGet();
  }

  /** Returns how often an event was counted. */
  public long get(Kind kind) {
    return counts.get(kind).sum();
  }

  /** Returns the number of requests in progress. */
  public int running() {
    return running.get();
  }
}
