package org.cuminrack.relay;

/**
 * One server-sent event of an engine.
 *
 * @param id the event's id; empty where it has none
 * @param data the event's data, one line
 */
record UpstreamEvent(String id, byte[] data) {}
