package org.cuminrack.relay;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** The counters of the data path, exported in the metrics and the diagnostic dump. */
public enum RelayCounters {
  /** Tokens sent to callers. */
  TOKENS,
  /** Duplicate tokens from an engine that were dropped. */
  DUPLICATES_DROPPED,
  /** Gaps in a token stream whose tokens were requested again. */
  GAPS_REPAIRED,
  /** Upstream connections replaced because they were silent, broken or out of sequence. */
  CONNECTIONS_REPLACED,
  /** Responses and events that do not belong to the request on their connection. */
  CROSSED_ANSWERS,
  /** Generations that ended with the problem {@code generation-lost}. */
  GENERATIONS_LOST,
  /** Second admission requests, made to retry a request on another upstream. */
  SECOND_ATTEMPTS,
  /** Responses aborted because their caller read too slowly. */
  SLOW_CALLERS,
  /** Callers that disconnected before their response was complete. */
  CALLERS_GONE,
  /** Problem documents sent to callers, as responses or as error events. */
  REFUSALS,
  /** Generations cancelled because the lease or ticket expired while the request was being sent. */
  LATE_DISPATCHES,
  /** At-most-once calls whose outcome is unknown because their response was lost. */
  UNKNOWN_OUTCOMES;

  /** The counters of one entry. */
  public static final class Table {
    private final Map<RelayCounters, LongAdder> counts = new EnumMap<>(RelayCounters.class);

    Table() {
      for (RelayCounters counter : values()) {
        counts.put(counter, new LongAdder());
      }
    }

    void add(RelayCounters counter) {
      counts.get(counter).increment();
    }

    /** Returns the current value of a counter. */
    public long get(RelayCounters counter) {
      return counts.get(counter).sum();
    }

    Map<String, Long> asMap() {
      Map<String, Long> map = new LinkedHashMap<>();
      for (RelayCounters counter : values()) {
        map.put(counter.name().toLowerCase(Locale.ROOT), get(counter));
      }
      return map;
    }
  }
}
