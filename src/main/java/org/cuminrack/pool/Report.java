package org.cuminrack.pool;

/**
 * An upstream's load, as it was a short while ago.
 *
 * @param bootId the life that it is about
 * @param sequence counts the reports of one life
 * @param running requests that it works on
 * @param waiting requests that wait in it
 * @param usedTokens tokens in its key-value memory
 * @param preemptions counted since its start
 * @param leaving true once it takes no new work
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
