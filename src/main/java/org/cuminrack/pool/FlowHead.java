package org.cuminrack.pool;

/** The first queued request of a flow. */
record FlowHead(FlowKey flow, QueuedRequest request) {}
