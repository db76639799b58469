package org.cuminrack.standin;

import java.util.List;
import org.cuminrack.admission.Priority;

/**
 * A generation as submitted to an engine's scheduler.
 *
 * @param id the generation's id on this engine
 * @param promptTokens length of the prompt
 * @param blockHashes hashes of the prompt's full blocks, in order
 * @param outputTokens tokens it will produce; known only to the engine
 * @param truncated whether the caller's token limit cuts the output off
 * @param priority its scheduling priority
 */
public record GenerationRequest(
    String id,
    int promptTokens,
    List<Long> blockHashes,
    int outputTokens,
    boolean truncated,
    Priority priority) {}
