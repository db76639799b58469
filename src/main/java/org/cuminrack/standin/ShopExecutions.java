package org.cuminrack.standin;

import java.util.Map;

/**
 * The calls that a stand-in shop has executed.
 *
 * @param executions number of executions by idempotency key
 * @param total number of executions over all keys
 * @param lookups number of look-ups, which are idempotent GET calls
 */
record ShopExecutions(String upstream, Map<String, Integer> executions, int total, int lookups) {}
