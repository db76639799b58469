package org.cuminrack.pool;

/**
 * Bounds repeated attempts to a share of first ones, so that failures can't feed load. Not
 * thread-safe.
 */
public final class RetryBudget {
  private static final double SHARE_OF_FIRST_ATTEMPTS = 0.05;
  private static final double MAX_TOKENS = 20;
  private static final double INITIAL_TOKENS = 5;

  private final double share;
  private final double maxTokens;
  private double tokens;

  RetryBudget() {
    this(SHARE_OF_FIRST_ATTEMPTS, MAX_TOKENS, INITIAL_TOKENS);
  }

  /**
   * Makes a budget.
   *
   * @param share repeated attempts that each first one allows
   * @param maxTokens repeated attempts that may be saved up
   * @param initialTokens repeated attempts that are allowed before any first one
   */
  public RetryBudget(double share, double maxTokens, double initialTokens) {
    this.share = share;
    this.maxTokens = maxTokens;
    this.tokens = initialTokens;
  }

  /** Counts an attempt in; false where a repeated one must not be made. */
  public boolean allows(int attempt) {
    if (attempt <= 1) {
      tokens = Math.min(maxTokens, tokens + share);
      return true;
    }
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
