package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.TreeMap;
import org.cuminrack.log.LogEvent;

/**
 * Counts executions and look-ups and logs each execution; the log preserves the count of executions
 * after a crash. Thread-safe.
 */
final class ExecutionCounter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, Integer> executions = new TreeMap<>();
  private int total;
  private int lookups;

  /** Counts and logs an execution; returns the number of executions with this key. */
  synchronized int countExecution(String key) {
    total++;
    logger.atInfo().log("%s", LogEvent.named("executed").with("key", key));
    return executions.merge(key, 1, Integer::sum);
  }

  /** Counts a GET call, which has no idempotency key. */
  synchronized void countLookup() {
    lookups++;
  }

  synchronized ShopExecutions executions(String upstream) {
    return new ShopExecutions(upstream, new TreeMap<>(executions), total, lookups);
  }
}
