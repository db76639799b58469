package org.cuminrack.pool;

/**
 * A load report of an upstream, slightly delayed.
 *
 * @param bootId the boot that it refers to
 * @param sequence sequence number among the reports of one boot
 * @param running number of running requests
 * @param waiting number of requests queued on the upstream
 * @param usedTokens used part of the KV cache in tokens
 * @param preemptions number of preemptions since its start
 * @param leaving true once it accepts no new requests
 */
public record Report(
    String upstream,
    String bootId,
    long sequence,
    int running,
    int waiting,
    long usedTokens,
    long preemptions,
    boolean leaving) {}
