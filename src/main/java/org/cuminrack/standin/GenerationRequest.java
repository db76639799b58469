package org.cuminrack.standin;

import java.util.List;
import org.cuminrack.admission.Priority;

/**
 * A generation as an engine's scheduler sees it.
 *
 * @param id the generation's id on this engine
 * @param promptTokens length of the prompt
 * @param blockHashes hashes of the prompt's whole blocks, in order
 * @param outputTokens tokens it will make; hidden from everybody but the engine
 * @param truncated whether the caller's bound cuts it off
 * @param priority how urgent it is
 */
public record GenerationRequest(
    String id,
    int promptTokens,
    List<Long> blockHashes,
    int outputTokens,
    boolean truncated,
    Priority priority) {}
