package org.cuminrack.standin;

/** The body of an upstream's load report to an entry. */
record LoadReport(
    String upstream,
    String bootId,
    long sequence,
    int running,
    int waiting,
    int usedTokens,
    long preemptions,
    boolean leaving) {}
