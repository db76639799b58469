package org.cuminrack.routing;

/**
 * Capacity and capabilities of the engines of a service.
 *
 * @param batchSlots requests that run concurrently
 * @param memoryTokens tokens of prompts and outputs that fit into the engine's memory
 * @param tokensPerEvent output tokens in one event of a stream
 * @param keepsBackups whether an engine copies a request's memory to a backup engine
 * @param movesMemory whether a running request's memory can be moved to another engine
 */
public record EngineSpec(
    int batchSlots,
    long memoryTokens,
    int tokensPerEvent,
    boolean keepsBackups,
    boolean movesMemory) {}
