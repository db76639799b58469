package org.cuminrack.pool;

/** The parts of the predictive policy, each of which can be left out to measure what it brings. */
public enum Mechanism {
  /** Admit only what fits in the memory that running sequences are predicted to reach. */
  MEMORY_PREDICTION,
  /** Concurrency limits that start cold, grow on completions and are set back. */
  RAMP,
  /** Prefer an upstream that holds the prompt's prefix while its load is bounded. */
  PREFIX_AFFINITY,
  /** Share a crowded pool over organisations by predicted tokens. */
  FAIR_QUEUEING,
  /** Keep room for interactive requests. */
  INTERACTIVE_ROOM,
  /** Refuse at once what would wait too long. */
  EARLY_REFUSAL,
  /** Bound repeated attempts to a share of first ones. */
  RETRY_BUDGET
}
