package org.cuminrack.pool;

/** The request of an organisation and priority that is to be served first. */
record FlowHead(FlowKey flow, QueuedRequest request) {}
