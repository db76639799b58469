package org.cuminrack.quorum;

/**
 * What a whole group costs while nobody proposes.
 *
 * @param replicas the group's size
 * @param packetsPerSecond packets that all replicas send
 * @param bytesPerSecond their size without the wire's envelopes
 * @param cores processor time of the whole process a second, in cores
 */
public record QuorumRestResult(
    int replicas, double packetsPerSecond, double bytesPerSecond, double cores) {}
