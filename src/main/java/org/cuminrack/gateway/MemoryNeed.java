package org.cuminrack.gateway;

import java.util.Optional;
import org.cuminrack.routing.EngineSpec;

/**
 * The engine memory that a generation needs, in tokens. Its output length is unknown, so the
 * reservation covers the prompt and the expected output, and grows with the output received.
 *
 * @param promptTokens tokens of the prompt
 * @param expectedOutputTokens output tokens that are initially reserved
 * @param maxOutputTokens the upper bound of output tokens
 * @param tokensPerEvent output tokens in one event of the stream
 */
record MemoryNeed(
    long promptTokens, long expectedOutputTokens, long maxOutputTokens, int tokensPerEvent) {

  /** Assumed if a request does not state its size. */
  private static final long DEFAULT_PROMPT_TOKENS = 2_000;

  private static final long DEFAULT_OUTPUT_TOKENS = 500;

  /** Expected output as a share of the upper bound; outputs vary widely below it. */
  private static final double EXPECTED_SHARE_OF_MAX = 0.55;

  /**
   * Reserved beyond the output received, so that a generation that outgrows its estimate has room.
   */
  private static final long OUTPUT_HEADROOM_TOKENS = 64;

  /** A shorter generation finishes before its backup would. */
  private static final long MIN_OUTPUT_TOKENS_FOR_BACKUP = 100;

  static MemoryNeed of(Optional<GenerationDemand> demand, EngineSpec engine) {
    int tokensPerEvent = Math.max(1, engine.tokensPerEvent());
    if (demand.isEmpty()) {
      return new MemoryNeed(
          DEFAULT_PROMPT_TOKENS, DEFAULT_OUTPUT_TOKENS, DEFAULT_OUTPUT_TOKENS, tokensPerEvent);
    }
    long maxOutput = demand.get().maxOutputTokens();
    long expectedOutput = Math.round(maxOutput * EXPECTED_SHARE_OF_MAX);
    return new MemoryNeed(demand.get().promptTokens(), expectedOutput, maxOutput, tokensPerEvent);
  }

  /** Returns the initial reservation in tokens. */
  long expectedTokens() {
    return promptTokens + expectedOutputTokens;
  }

  /** Returns the tokens needed after this many events. */
  long tokensAfterEvents(int events) {
    long generated = (long) events * tokensPerEvent;
    return promptTokens + Math.min(maxOutputTokens, generated + OUTPUT_HEADROOM_TOKENS);
  }

  /** Returns whether the generation is long enough to keep a backup. */
  boolean isLongEnoughForBackup() {
    return maxOutputTokens >= MIN_OUTPUT_TOKENS_FOR_BACKUP;
  }
}
