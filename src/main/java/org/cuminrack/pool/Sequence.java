package org.cuminrack.pool;

/**
 * A generation in the memory forecast.
 *
 * @param lengths distribution of output lengths that applies to it
 * @param promptTokens length of the prompt
 * @param producedTokens output tokens produced so far
 * @param maxOutputTokens the caller's limit on output tokens; 0 for no limit
 */
record Sequence(
    LengthHistogram lengths, int promptTokens, double producedTokens, int maxOutputTokens) {

  /** Returns the number of tokens that it currently occupies in memory. */
  double occupiedTokens() {
    return promptTokens + producedTokens;
  }

  /** Returns the probability that an output reaches the current length. */
  double survivalSoFar() {
    return lengths.survival(producedTokens);
  }

  /**
   * Returns the probability that it still runs after a number of further tokens.
   *
   * @param survivalSoFar the result of {@link #survivalSoFar()}
   */
  double survival(double moreTokens, double survivalSoFar) {
    double lengthTokens = producedTokens + moreTokens;
    boolean exceedsLimit = maxOutputTokens > 0 && lengthTokens > maxOutputTokens;
    return exceedsLimit || survivalSoFar <= 0 ? 0 : lengths.survival(lengthTokens) / survivalSoFar;
  }

  /**
   * Returns a copy that has produced {@code tokens} tokens and occupies memory only for the part of
   * its prompt that it does not share with other sequences.
   */
  Sequence advancedTo(double tokens, int sharedPromptTokens) {
    double newProducedTokens = maxOutputTokens > 0 ? Math.min(tokens, maxOutputTokens) : tokens;
    int ownPromptTokens = Math.max(0, promptTokens - sharedPromptTokens);
    return new Sequence(lengths, ownPromptTokens, newProducedTokens, maxOutputTokens);
  }
}
