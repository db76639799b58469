package org.cuminrack.quorum.internal;

/**
 * A snapshot of the state after all entries up to an index. The image at index 0 is the initial
 * state of a new group.
 *
 * @param index the index of the last entry covered
 * @param term the term of that entry
 * @param groupId identifies the group; the incarnation of the replica that formed it
 * @param voters the voter set at that index
 * @param data the state machine's snapshot; empty for its initial state
 */
@SuppressWarnings("ArrayRecordComponent")
public record SnapshotImage(long index, long term, long groupId, VoterSet voters, byte[] data) {}
