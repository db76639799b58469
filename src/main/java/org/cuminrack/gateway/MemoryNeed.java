package org.cuminrack.gateway;

import java.util.Optional;
import org.cuminrack.routing.EngineSpec;

/**
 * How much of an engine's memory a generation needs. Its output's length is unknown; what is
 * reserved is the prompt and an expected output, and grows with what has come.
 *
 * @param promptTokens tokens of the prompt
 * @param expectedOutputTokens output tokens that are reserved at first
 * @param maxOutputTokens the most output tokens that may come
 * @param tokensPerEvent output tokens in one event of the stream
 */
record MemoryNeed(
    long promptTokens, long expectedOutputTokens, long maxOutputTokens, int tokensPerEvent) {

  /** Where a request says nothing of its size. */
  private static final long UNKNOWN_PROMPT_TOKENS = 2_000;

  private static final long UNKNOWN_OUTPUT_TOKENS = 500;

  /** Part of the largest output that is expected; outputs spread widely below their bound. */
  private static final double EXPECTED_SHARE_OF_MAX = 0.55;

  /** Kept ahead of what has come, so that a generation that outgrows its estimate has room. */
  private static final long TOKENS_AHEAD = 64;

  /** A shorter generation is sooner done than its copy. */
  private static final long MIN_OUTPUT_FOR_BACKUP = 100;

  static MemoryNeed of(Optional<GenerationDemand> demand, EngineSpec engine) {
    int tokensPerEvent = Math.max(1, engine.tokensPerEvent());
    if (demand.isEmpty()) {
      return new MemoryNeed(
          UNKNOWN_PROMPT_TOKENS, UNKNOWN_OUTPUT_TOKENS, UNKNOWN_OUTPUT_TOKENS, tokensPerEvent);
    }
    long most = demand.get().maxOutputTokens();
    long expected = Math.round(most * EXPECTED_SHARE_OF_MAX);
    return new MemoryNeed(demand.get().promptTokens(), expected, most, tokensPerEvent);
  }

  /** Returns what is reserved at first. */
  long expectedTokens() {
    return promptTokens + expectedOutputTokens;
  }

  /** Returns what is needed once this many events have come. */
  long afterEvents(int events) {
    long made = (long) events * tokensPerEvent;
    return promptTokens + Math.min(maxOutputTokens, made + TOKENS_AHEAD);
  }

  /** Tells whether a loss would cost enough to keep a copy against it. */
  boolean isWorthBackup() {
    return maxOutputTokens >= MIN_OUTPUT_FOR_BACKUP;
  }
}
