package org.cuminrack.relay;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts what the data path met; read by metrics and by the dump. */
public enum RelayCounters {
  /** Tokens sent to callers. */
  TOKENS,
  /** Tokens that an engine sent again and that were dropped. */
  DUPLICATES_DROPPED,
  /** Tokens found missing and asked for again. */
  GAPS_REPAIRED,
  /** Upstream connections replaced because they were silent or broken. */
  CONNECTIONS_REPLACED,
  /** Answers that belonged to another request. */
  CROSSED_ANSWERS,
  /** Generations that ended with generation-lost. */
  GENERATIONS_LOST,
  /** Requests sent to a second upstream. */
  SECOND_ATTEMPTS,
  /** Generations cancelled because their caller read too slowly. */
  SLOW_CALLERS,
  /** Callers that left before their answer was whole. */
  CALLERS_GONE,
  /** Refusals of any kind. */
  REFUSALS,
  /** Work sent although the lease or ticket ran out meanwhile, and cancelled. */
  LATE_DISPATCHES,
  /** Calls whose outcome is unknown. */
  UNKNOWN_OUTCOMES;

  /** The counts of one entry. */
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

    /** Returns how often this was met. */
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
