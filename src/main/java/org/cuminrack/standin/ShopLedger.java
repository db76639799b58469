package org.cuminrack.standin;

import java.util.Map;
import java.util.TreeMap;

/** Counts every execution of every call. Safe for use by many threads. */
final class ShopLedger {
  private final Map<String, Integer> executions = new TreeMap<>();
  private int total;
  private int lookups;

  synchronized int execute(String key) {
    total++;
    return executions.merge(key, 1, Integer::sum);
  }

  synchronized void lookUp() {
    lookups++;
  }

  synchronized ShopExecutions executions(String upstream) {
    return new ShopExecutions(upstream, new TreeMap<>(executions), total, lookups);
  }
}
