package org.cuminrack.pool;

/**
 * Identifies a request across the cluster.
 *
 * @param session the session of the requesting entry
 * @param request number of the request within that session
 */
record RequestKey(long session, long request) {}
