package org.cuminrack.standin;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.TreeMap;
import org.cuminrack.log.LogEvent;

/**
 * Counts every execution of every call, and logs each, so that the count outlives a crash. Safe for
 * use by many threads.
 */
final class ShopLedger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, Integer> executions = new TreeMap<>();
  private int total;
  private int lookups;

  synchronized int execute(String key) {
    total++;
    logger.atInfo().log("%s", LogEvent.named("executed").with("key", key));
    return executions.merge(key, 1, Integer::sum);
  }

  synchronized void lookUp() {
    lookups++;
  }

  synchronized ShopExecutions executions(String upstream) {
    return new ShopExecutions(upstream, new TreeMap<>(executions), total, lookups);
  }
}
