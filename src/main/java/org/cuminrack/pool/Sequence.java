package org.cuminrack.pool;

/**
 * A generation as the memory forecast sees it.
 *
 * @param lengths distribution of the lengths of outputs like this one
 * @param promptTokens length of the prompt
 * @param producedTokens tokens produced so far
 * @param maxOutputTokens the caller's own bound; 0 where it named none
 */
record Sequence(
    LengthHistogram lengths, int promptTokens, double producedTokens, int maxOutputTokens) {

  /** Returns the tokens that it holds in memory now. */
  double heldTokens() {
    return promptTokens + producedTokens;
  }

  /** Returns the probability that an output like this one gets as long as this one is. */
  double survivalSoFar() {
    return lengths.survival(producedTokens);
  }

  /**
   * Returns the probability that it still runs after so many more tokens.
   *
   * @param survivalSoFar the result of {@link #survivalSoFar()}
   */
  double survival(double moreTokens, double survivalSoFar) {
    double reached = producedTokens + moreTokens;
    boolean exceedsMaximum = maxOutputTokens > 0 && reached > maxOutputTokens;
    return exceedsMaximum || survivalSoFar <= 0 ? 0 : lengths.survival(reached) / survivalSoFar;
  }

  /** Returns the same after so many tokens, with so many of the prompt's held by others too. */
  Sequence advancedTo(double tokens, int sharedPromptTokens) {
    double produced = maxOutputTokens > 0 ? Math.min(tokens, maxOutputTokens) : tokens;
    int ownPromptTokens = Math.max(0, promptTokens - sharedPromptTokens);
    return new Sequence(lengths, ownPromptTokens, produced, maxOutputTokens);
  }
}
