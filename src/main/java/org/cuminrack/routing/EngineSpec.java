package org.cuminrack.routing;

/**
 * What the engines of a service can hold.
 *
 * @param batchSlots requests that run at once
 * @param memoryTokens tokens of prompts and outputs that fit into the memory
 * @param tokensPerEvent output tokens in one event of a stream
 * @param keepsBackups whether an engine sends a request's memory on to a second one
 * @param movesMemory whether a running request's memory can be moved to another engine
 */
public record EngineSpec(
    int batchSlots,
    long memoryTokens,
    int tokensPerEvent,
    boolean keepsBackups,
    boolean movesMemory) {}
