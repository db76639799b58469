package org.cuminrack.gateway;

import java.util.List;
import java.util.OptionalInt;

/**
 * What a generation asks of an engine.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens the most output tokens that may come
 * @param expectedOutputTokens the caller's own estimate
 * @param promptParts ids of the prompt's parts, in order
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
