package org.cuminrack.pool;

/** The mechanisms of the predictive policy; each can be disabled to measure its effect. */
public enum Mechanism {
  /**
   * Admit only requests that fit into memory, given the predicted peak use of running sequences.
   */
  MEMORY_PREDICTION,
  /**
   * Concurrency limits that start at the cold limit, grow on completions, and drop on overload or
   * signs of a cold start.
   */
  RAMP,
  /** Prefer an upstream that caches the prompt's prefix, within a bound on its load. */
  PREFIX_AFFINITY,
  /** Share an overloaded pool among organisations by predicted tokens. */
  FAIR_QUEUEING,
  /** Reserve headroom for interactive requests. */
  INTERACTIVE_ROOM,
  /** Refuse requests at once if their predicted wait is too long. */
  EARLY_REFUSAL,
  /** Limit retries to a share of first attempts. */
  RETRY_BUDGET
}
