package org.cuminrack.gateway;

import java.time.Duration;

/**
 * A generation that is to be placed.
 *
 * @param promptTokens tokens to prefill
 * @param expectedTokens tokens of memory that it is expected to need
 * @param targetLatency the target time to its first output
 * @param shortestTarget the shortest target latency of the service's generations
 * @param gapShare the usual time between two events as a share of the target; 0 if either is not
 *     known
 */
public record PrefillWork(
    long promptTokens,
    long expectedTokens,
    Duration targetLatency,
    Duration shortestTarget,
    double gapShare) {}
