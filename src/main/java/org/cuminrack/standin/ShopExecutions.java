package org.cuminrack.standin;

import java.util.Map;

/**
 * What a stand-in shop has run.
 *
 * @param executions by idempotency key
 * @param total over all keys
 * @param lookups idempotent calls
 */
record ShopExecutions(String upstream, Map<String, Integer> executions, int total, int lookups) {}
