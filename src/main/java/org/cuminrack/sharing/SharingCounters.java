package org.cuminrack.sharing;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the exchange with boards. Thread-safe. */
public final class SharingCounters {
  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

  /** What is counted. */
  public enum Kind {
    /** Calls to boards on other gateways. */
    CALLS_SENT,
    /** Calls of all gateways, this one included, that boards here have answered. */
    CALLS_SERVED,
    /** Requests that waited for the answer of a board before they were placed. */
    QUESTIONS,
    /** Calls that were not answered in time. */
    TIMEOUTS
  }

  /** Creates counters that are all 0. */
  public SharingCounters() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void add(Kind kind) {
    counts.get(kind).increment();
  }

  /** Returns how often something has happened since the start. */
  public long get(Kind kind) {
    return counts.get(kind).sum();
  }
}
