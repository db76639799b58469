package org.cuminrack.standin;

import java.util.List;

/**
 * What a stand-in engine shows of itself to tests.
 *
 * @param inFlight running and waiting generations
 * @param maxInFlight the most there have been at one time
 * @param overCarried generations handed to it beyond what it carried at that moment
 * @param started generations taken since the start
 * @param finished generations run to their end
 * @param orders orders carried out, in order
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
    List<EngineOrder> orders) {}
