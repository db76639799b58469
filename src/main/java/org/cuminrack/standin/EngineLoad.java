package org.cuminrack.standin;

/**
 * An engine's load at one instant.
 *
 * @param running sequences in the batch
 * @param waiting sequences queued
 * @param usedTokens key-value memory used by running sequences, in tokens
 * @param preemptions sequences preempted for recomputation since the start
 */
public record EngineLoad(int running, int waiting, int usedTokens, long preemptions) {}
