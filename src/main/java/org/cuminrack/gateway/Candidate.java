package org.cuminrack.gateway;

import org.cuminrack.fleet.UpstreamRecord;

/**
 * An upstream that a request may go to.
 *
 * @param load what all gateways have running there
 * @param avoided whether its last requests failed or it has fallen silent
 * @param failureShare the share of its last requests that failed
 * @param draw a number from 0 to 1, drawn anew for each choice
 */
public record Candidate(
    UpstreamRecord upstream,
    UpstreamLoad load,
    boolean avoided,
    double failureShare,
    double draw) {}
