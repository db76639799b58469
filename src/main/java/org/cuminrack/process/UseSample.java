package org.cuminrack.process;

/**
 * What a process has used.
 *
 * @param nanos when, on the monotonic clock
 * @param cpuNanos processor time since its start
 * @param transferredBytes bytes over its link since its start
 * @param descriptors open descriptors
 * @param heapFraction how much of the heap was in use after the last collection
 */
record UseSample(
    long nanos, long cpuNanos, long transferredBytes, long descriptors, double heapFraction) {}
