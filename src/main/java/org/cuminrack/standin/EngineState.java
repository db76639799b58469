package org.cuminrack.standin;

import java.util.List;

/**
 * A snapshot of a stand-in engine, for tests.
 *
 * @param warmth warm-up progress, from 0 (just started) to 1 (warm)
 * @param carries its current concurrency limit, in generations
 * @param inFlight number of running and waiting generations
 * @param maxInFlight highest value of inFlight since the start
 * @param overCarried generations submitted while its concurrency limit was already reached
 * @param started generations accepted since the start
 * @param finished generations that ran to completion
 * @param orders executed commands, oldest first
 */
record EngineState(
    String upstream,
    String bootId,
    EngineLoad load,
    double warmth,
    int carries,
    int inFlight,
    int maxInFlight,
    int overCarried,
    int started,
    int finished,
    int cancelled,
    boolean leaving,
    Behaviour behaviour,
    List<EngineCommand> orders) {}
