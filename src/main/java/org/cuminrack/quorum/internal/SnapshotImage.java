package org.cuminrack.quorum.internal;

/**
 * The state after all entries up to an index. The image at index 0 is what a new group begins with.
 *
 * @param index the last entry that it covers
 * @param term that entry's term
 * @param groupId names the group; the incarnation of the replica that formed it
 * @param voters who voted at that index
 * @param data the state machine's snapshot; empty stands for its initial state
 */
@SuppressWarnings("ArrayRecordComponent")
public record SnapshotImage(long index, long term, long groupId, VoterSet voters, byte[] data) {}
