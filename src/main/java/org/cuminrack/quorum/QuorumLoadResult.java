package org.cuminrack.quorum;

/**
 * What a group under load did.
 *
 * @param replicas the group's size
 * @param proposers proposals under way at any time
 * @param p50Micros the median time from proposal to application on the leader
 * @param p99Micros the time that 99 in 100 stay under
 */
public record QuorumLoadResult(
    int replicas,
    int proposers,
    double proposalsPerSecond,
    long p50Micros,
    long p99Micros,
    long failures) {}
