package org.cuminrack.pool;

/**
 * Limits retries to a share of first attempts, so that failures do not multiply load. A token
 * bucket. Not thread-safe.
 */
public final class RetryBudget {
  private static final double SHARE_OF_FIRST_ATTEMPTS = 0.05;
  private static final double MAX_TOKENS = 20;
  private static final double INITIAL_TOKENS = 5;

  private final double share;
  private double maxTokens;
  private double tokens;

  RetryBudget() {
    this(SHARE_OF_FIRST_ATTEMPTS, MAX_TOKENS, INITIAL_TOKENS);
  }

  /**
   * Creates a budget.
   *
   * @param share retries allowed per first attempt
   * @param maxTokens maximum number of retries saved up
   * @param initialTokens retries allowed before any first attempt
   */
  public RetryBudget(double share, double maxTokens, double initialTokens) {
    this.share = share;
    this.maxTokens = maxTokens;
    this.tokens = initialTokens;
  }

  /** Changes the maximum number of retries saved up; retries beyond it are lost. */
  public void limitTo(double newMaxTokens) {
    maxTokens = newMaxTokens;
    tokens = Math.min(tokens, maxTokens);
  }

  /** Counts an attempt and returns whether it is allowed. First attempts are always allowed. */
  public boolean tryAcquire(int attempt) {
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
