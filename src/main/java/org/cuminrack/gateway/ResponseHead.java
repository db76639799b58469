package org.cuminrack.gateway;

/**
 * Facts read from the head of an upstream's response.
 *
 * @param matchesRequest whether the response belongs to the request that was sent
 * @param notExecuted whether the upstream states that it has not run the request and will not
 * @param misdirected whether the request reached another upstream than the intended one
 */
public record ResponseHead(boolean matchesRequest, boolean notExecuted, boolean misdirected) {}
