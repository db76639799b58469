package org.cuminrack.gateway;

/**
 * What the head of an upstream's answer says.
 *
 * @param belongs whether it answers the request that was sent
 * @param notRun whether the upstream states that it has not run the request and will not
 * @param otherUpstream whether another upstream than the one meant has the address
 */
public record AnswerHead(boolean belongs, boolean notRun, boolean otherUpstream) {}
