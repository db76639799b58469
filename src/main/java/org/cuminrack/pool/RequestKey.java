package org.cuminrack.pool;

/**
 * Names a request across the cluster.
 *
 * @param session the session of the entry that asked
 * @param request that entry's own number for the request
 */
record RequestKey(long session, long request) {}
