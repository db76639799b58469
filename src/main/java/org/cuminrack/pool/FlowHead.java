package org.cuminrack.pool;

/** The first request of a flow. */
record FlowHead(FlowKey flow, QueuedRequest request) {}
