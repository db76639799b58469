package org.cuminrack.quorum.internal;

/**
 * A copy of the core's state, for the node, the diagnostic dump and tests.
 *
 * @param established whether the replica leads and has committed an entry of its term
 * @param voters null while the replica is blank
 */
public record CoreView(
    ReplicaId self,
    Role role,
    long term,
    String leader,
    boolean established,
    long lastIndex,
    long syncedIndex,
    long commitIndex,
    long appliedIndex,
    long snapshotIndex,
    long groupId,
    boolean diskFull,
    VoterSet voters) {}
