package org.cuminrack.relay;

/**
 * Identifies one token of one generation, so that any entry can resume the stream after it.
 *
 * @param upstream the engine's name
 * @param address the engine's host and port
 * @param bootId the boot ID of the engine's process
 * @param generation the ID that the engine gave the generation
 * @param fingerprint the request's fingerprint, as hex
 * @param index the token's index
 * @param isLastToken true for the last token of the generation
 */
record EventId(
    String upstream,
    String address,
    String bootId,
    String generation,
    String fingerprint,
    int index,
    boolean isLastToken) {}
