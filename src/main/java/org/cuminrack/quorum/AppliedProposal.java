package org.cuminrack.quorum;

/**
 * The result of a proposal that was committed and applied.
 *
 * @param index the command's index in the log
 * @param result the value returned by the state machine
 */
@SuppressWarnings("ArrayRecordComponent")
public record AppliedProposal(long index, byte[] result) {}
