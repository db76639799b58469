package org.cuminrack.relay;

/**
 * Names one token of one generation, so that any entry can go on with the stream after it.
 *
 * @param upstream the engine's name
 * @param address the engine's host and port
 * @param bootId the engine's life
 * @param generation the engine's id of the generation
 * @param fingerprint the request's fingerprint, as hex
 * @param index the token's index
 * @param last true where no token follows
 */
record EventId(
    String upstream,
    String address,
    String bootId,
    String generation,
    String fingerprint,
    int index,
    boolean last) {}
