package org.cuminrack.quorum;

/**
 * Throughput and latency of a group under load.
 *
 * @param replicas the number of replicas
 * @param proposers the number of concurrent proposals
 * @param proposalsPerSecond the proposals applied per second
 * @param p50Micros the median latency from proposal to application on the leader
 * @param p99Micros the 99th percentile of that latency
 * @param failures the number of failed proposals
 */
public record QuorumLoadResult(
    int replicas,
    int proposers,
    double proposalsPerSecond,
    long p50Micros,
    long p99Micros,
    long failures) {}
