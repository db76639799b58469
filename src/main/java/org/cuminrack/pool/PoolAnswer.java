package org.cuminrack.pool;

/**
 * A decision on its way to the entry that asked.
 *
 * @param waitedNanos from the arrival of the request at the owner to the decision
 */
record PoolAnswer(PoolDecision decision, long waitedNanos) {}
