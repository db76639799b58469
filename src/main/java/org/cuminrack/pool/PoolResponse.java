package org.cuminrack.pool;

/**
 * A decision as returned to the requesting entry.
 *
 * @param waitedNanos time from the arrival of the request at the owner to the decision
 */
record PoolResponse(PoolDecision decision, long waitedNanos) {}
