package org.cuminrack.quorum;

/**
 * The resource usage of a whole group without proposals.
 *
 * @param replicas the number of replicas
 * @param packetsPerSecond packets sent by all replicas
 * @param bytesPerSecond bytes sent by all replicas, without the transport's framing
 * @param cores the average number of CPU cores used by the process
 */
public record QuorumIdleResult(
    int replicas, double packetsPerSecond, double bytesPerSecond, double cores) {}
