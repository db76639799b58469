package org.cuminrack.quorum;

/**
 * A proposal that was committed and applied.
 *
 * @param index its place in the log
 * @param result what the state machine answered
 */
@SuppressWarnings("ArrayRecordComponent")
public record Applied(long index, byte[] result) {}
