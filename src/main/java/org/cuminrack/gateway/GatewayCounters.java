package org.cuminrack.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests by outcome, and sends to upstreams. Thread-safe. */
public final class GatewayCounters {
  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);
  private final AtomicInteger running = new AtomicInteger();

  /** Counted events. */
  public enum Kind {
    REQUESTS,
    ANSWERED,
    REFUSED,
    FAILED,
    CALLERS_GONE,
    SENDS,
    REPEATED_SENDS,
    RESUMED_STREAMS
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

  /** Returns a count. */
  public long get(Kind kind) {
    return counts.get(kind).sum();
  }

  /** Returns the number of requests in progress. */
  public int running() {
    return running.get();
  }
}
