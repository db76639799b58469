package org.cuminrack.pool;

/**
 * A generation in the memory forecast.
 *
 * @param lengths distribution of the lengths of outputs like this one
 * @param promptTokens length of the prompt
 * @param producedTokens tokens produced so far
 * @param maxOutputTokens the caller's limit; 0 if it set none
 */
record Sequence(
    LengthHistogram lengths, int promptTokens, double producedTokens, int maxOutputTokens) {

  /** Returns the number of tokens that it currently holds in memory. */
  double heldTokens() {
    return promptTokens + producedTokens;
  }

  /** Returns the probability that such an output reaches the current length. */
  double survivalSoFar() {
    return lengths.survival(producedTokens);
  }

  /**
   * Returns the probability that it still runs after a number of further tokens.
   *
   * @param survivalSoFar the result of {@link #survivalSoFar()}
   */
  double survival(double moreTokens, double survivalSoFar) {
    double reached = producedTokens + moreTokens;
    boolean exceedsMaximum = maxOutputTokens > 0 && reached > maxOutputTokens;
    return exceedsMaximum || survivalSoFar <= 0 ? 0 : lengths.survival(reached) / survivalSoFar;
  }

  /**
   * Returns a copy that has produced {@code tokens} tokens and shares part of its prompt with
   * others.
   */
  Sequence advancedTo(double tokens, int sharedPromptTokens) {
    double produced = maxOutputTokens > 0 ? Math.min(tokens, maxOutputTokens) : tokens;
    int ownPromptTokens = Math.max(0, promptTokens - sharedPromptTokens);
    return new Sequence(lengths, ownPromptTokens, produced, maxOutputTokens);
  }
}
