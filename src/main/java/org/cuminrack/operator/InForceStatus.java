package org.cuminrack.operator;

import java.util.List;

/**
 * Whether a revision is in force on every entry.
 *
 * @param inForceRevision the newest revision in force on every entry with a lease
 * @param waitingFor the entries where the revision is not in force yet
 */
public record InForceStatus(
    long revision, boolean inForce, long inForceRevision, List<String> waitingFor) {}
