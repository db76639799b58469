package org.cuminrack.gateway;

import java.util.List;
import java.util.OptionalInt;

/**
 * The size of a generation, as stated by its caller.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens the upper bound of output tokens
 * @param expectedOutputTokens the caller's estimate of the output length; the gateway does not use
 *     it
 * @param promptParts ids of the prompt's parts, in order; the gateway does not use them
 */
public record GenerationDemand(
    int promptTokens,
    int maxOutputTokens,
    OptionalInt expectedOutputTokens,
    List<String> promptParts) {

  public GenerationDemand {
    promptParts = List.copyOf(promptParts);
  }
}
