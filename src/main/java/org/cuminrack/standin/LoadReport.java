package org.cuminrack.standin;

/** An upstream's load as it reports it. */
record LoadReport(
    String upstream,
    String bootId,
    long sequence,
    int running,
    int waiting,
    int usedTokens,
    long preemptions,
    boolean leaving) {}
