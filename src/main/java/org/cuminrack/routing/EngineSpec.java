package org.cuminrack.routing;

/**
 * Capacity and capabilities of the engines of a service. Engine memory is the engine's key-value
 * cache; it is measured in tokens.
 *
 * @param batchSlots requests that one engine runs concurrently
 * @param memoryTokens tokens of prompts and outputs that fit into the memory of one engine
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
