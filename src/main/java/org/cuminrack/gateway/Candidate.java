package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;

/**
 * An upstream that a request may be sent to.
 *
 * @param load the load that all gateways together place on it
 * @param avoided whether it is in backoff after failures or has stopped announcing itself
 * @param failureShare the exponential moving average of the share of its requests that failed
 * @param jitter a random number from 0 to 1, drawn for each choice
 */
public record Candidate(
    UpstreamRecord upstream,
    UpstreamLoad load,
    boolean avoided,
    double failureShare,
    double jitter) {}
