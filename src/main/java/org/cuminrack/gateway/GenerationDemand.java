package org.cuminrack.gateway;

import java.util.OptionalInt;

/**
 * The size of a generation, as stated by its caller.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens the upper bound of output tokens
 * @param expectedOutputTokens the caller's estimate of the output length; the gateway does not use
 *     it
 */
public record GenerationDemand(
    int promptTokens, int maxOutputTokens, OptionalInt expectedOutputTokens) {}
