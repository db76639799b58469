package org.cuminrack.quorum;

import java.util.Map;

/**
 * A replica's state at one moment, for the dump.
 *
 * @param replica VM name and disk incarnation
 * @param role blank, follower, pre-candidate, candidate or leader
 * @param leader the leading VM; empty if not known
 * @param voters the voters' incarnations by VM name; empty while the replica is blank
 * @param replacing whether a lost disk is being replaced
 * @param readOnly whether the disk is full
 * @param corruption what could not be read at the start; empty if all could
 * @param broken why the replica has stopped working; empty while it works
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
    boolean replacing,
    boolean readOnly,
    String corruption,
    String broken) {}
