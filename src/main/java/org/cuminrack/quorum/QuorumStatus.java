package org.cuminrack.quorum;

import java.util.Map;
import java.util.Set;

/**
 * A replica's state as shown in the diagnostic dump.
 *
 * @param replica VM name and disk incarnation
 * @param role blank (without a log), follower, pre-candidate, candidate or leader
 * @param leader the leader's VM name; empty if unknown
 * @param voters the voters' incarnations by VM name; empty while the replica is blank
 * @param previousVoters the previous voters' incarnations by VM name, while voters are changed
 * @param dataCentres the voters' data centres by VM name, if known
 * @param votersIndex the index of the entry that set the voters
 * @param learners on the leader, the VMs that have the log and do not vote
 * @param replacing whether voters are being added or replaced; until the new ones are committed
 * @param readOnly whether the disk refuses writes
 * @param diskRefusesSince when the disk began to refuse writes, in ISO 8601; empty if it accepts
 *     them
 * @param diskRefusal what the disk refused last, and its error; empty if it accepts writes
 * @param corruption the data that could not be read at startup; empty if none
 * @param broken the error that stopped the replica; empty while it runs
 */
public record QuorumStatus(
    String replica,
    String role,
    long term,
    String leader,
    long lastIndex,
    long syncedIndex,
    long commitIndex,
    long appliedIndex,
    long snapshotIndex,
    Map<String, String> voters,
    Map<String, String> previousVoters,
    Map<String, String> dataCentres,
    long votersIndex,
    Set<String> learners,
    boolean replacing,
    boolean readOnly,
    String diskRefusesSince,
    String diskRefusal,
    String corruption,
    String broken) {}
