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
  /** Gaps in a token stream that were requested again. */
  GAPS_REPAIRED,
  /** Upstream connections replaced because they were silent or broken. */
  CONNECTIONS_REPLACED,
  /** Responses and events that belong to another request. */
  CROSSED_ANSWERS,
  /** Generations that ended with the problem {@code generation-lost}. */
  GENERATIONS_LOST,
  /** Requests sent to a second upstream. */
  SECOND_ATTEMPTS,
  /** Generations cancelled because their caller read too slowly. */
  SLOW_CALLERS,
  /** Callers that disconnected before their response was complete. */
  CALLERS_GONE,
  /** Requests rejected for any reason. */
  REFUSALS,
  /** Requests cancelled because the lease or ticket expired while they were being sent. */
  LATE_DISPATCHES,
  /** Calls whose outcome is unknown. */
  UNKNOWN_OUTCOMES;

  /** The counters of one entry. */
  public static final class Table {
    private final Map<RelayCounters, LongAdder> counts = new EnumMap<>(RelayCounters.class);

    Table() {
      for (RelayCounters each : values()) {
        counts.put(each, new LongAdder());
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
      for (RelayCounters each : values()) {
        map.put(each.name().toLowerCase(Locale.ROOT), get(each));
      }
      return map;
    }
  }
}
