package org.cuminrack.pool;

/** Bounds repeated attempts to a small share of first ones, so that failures can't feed load. */
final class RetryBudget {
  private static final double SHARE_OF_FIRST_ATTEMPTS = 0.05;
  private static final double MAX_TOKENS = 20;
  private static final double INITIAL_TOKENS = 5;

  private double tokens = INITIAL_TOKENS;

  /** Counts an attempt in; false where a repeated one must not be made. */
  boolean allows(int attempt) {
    if (attempt <= 1) {
      tokens = Math.min(MAX_TOKENS, tokens + SHARE_OF_FIRST_ATTEMPTS);
      return true;
    }
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
