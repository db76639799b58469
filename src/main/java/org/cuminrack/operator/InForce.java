package org.cuminrack.operator;

import java.util.List;

/**
 * How far a revision is in force.
 *
 * @param inForceRevision what every entry with a lease has put in force
 * @param waitingFor entries that have not put the revision in force yet
 */
public record InForce(
    long revision, boolean inForce, long inForceRevision, List<String> waitingFor) {}
