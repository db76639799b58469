package org.cuminrack.quorum.internal;

import java.util.Set;

/**
 * A copy of the core's state, for the node, the diagnostic dump and tests.
 *
 * @param established whether the replica leads and has committed an entry of its term
 * @param voters null while the replica is blank
 * @param votersIndex the index of the entry that set the voters
 * @param learners the VMs to which this replica replicates its log as the leader and that do not
 *     vote
 * @param answeringVoters the VMs that recently replied to this replica's requests for votes
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
    VoterSet voters,
    long votersIndex,
    Set<String> learners,
    Set<String> answeringVoters) {

  /** Returns the view of a replica whose data folder could not be opened yet. */
  public static CoreView ofUnopenedReplica(String vmName) {
    return new CoreView(
        new ReplicaId(vmName, 0),
        Role.BLANK,
        0,
        "",
        false,
        0,
        0,
        0,
        0,
        0,
        0,
        true,
        null,
        0,
        Set.of(),
        Set.of());
  }

  /** Returns whether the voters are committed and no change of them is under way. */
  public boolean votersAreSettled() {
    return !voters.isJoint() && votersIndex <= commitIndex;
  }
}
