package org.cuminrack.standin;

/**
 * The cost and memory model of one engine. A step produces one token for every decoding sequence
 * and takes {@code stepBaseMicros + decoding * stepPerSequenceMicros + prefilled *
 * stepPerPrefillTokenMicros}, times the slow factor while cold.
 *
 * @param stepBaseMicros fixed cost of a step, independent of its batch
 * @param stepPerSequenceMicros cost of each decoding sequence
 * @param stepPerPrefillTokenMicros cost of each prompt token computed
 * @param prefillChunkTokens maximum number of prompt tokens computed in one step
 * @param memoryTokens key-value memory, in tokens
 * @param maxRunning maximum number of sequences in one batch
 * @param maxWaiting maximum number of queued sequences; more are refused
 * @param coldLimit concurrent requests it can handle right after its start
 * @param warmLimit concurrent requests up to which it meets its latency targets once warm
 * @param coldSlowFactor factor on the duration of a step right after the start
 * @param warmUpCompletions number of completed requests after which it is warm
 * @param warmUpMillis time spent in steps after which it is warm
 * @param overloadReaction how it reacts to more requests than it can handle while not warm
 */
public record EngineProfile(
    int stepBaseMicros,
    int stepPerSequenceMicros,
    int stepPerPrefillTokenMicros,
    int prefillChunkTokens,
    int memoryTokens,
    int maxRunning,
    int maxWaiting,
    int coldLimit,
    int warmLimit,
    double coldSlowFactor,
    int warmUpCompletions,
    int warmUpMillis,
    OverloadReaction overloadReaction) {

  /** Tokens in one block of key-value memory. */
  public static final int BLOCK_TOKENS = 16;

  private static final EngineProfile STANDARD =
      new EngineProfile(
          14_000, 600, 30, 192, 24_576, 64, 256, 4, 32, 4.0, 24, 30_000, OverloadReaction.CRASH);

  /** Returns the standard profile: a full step at the warm limit takes 39 ms. */
  public static EngineProfile standard() {
    return STANDARD;
  }

  /** Returns this profile with different limits on concurrent requests. */
  public EngineProfile withLimits(int cold, int warm) {
    return new EngineProfile(
        stepBaseMicros,
        stepPerSequenceMicros,
        stepPerPrefillTokenMicros,
        prefillChunkTokens,
        memoryTokens,
        Math.max(maxRunning, warm),
        maxWaiting,
        cold,
        warm,
        coldSlowFactor,
        warmUpCompletions,
        warmUpMillis,
        overloadReaction);
  }

  /** Returns this profile with a different size of key-value memory. */
  public EngineProfile withMemoryTokens(int tokens) {
    return new EngineProfile(
        stepBaseMicros,
        stepPerSequenceMicros,
        stepPerPrefillTokenMicros,
        prefillChunkTokens,
        tokens,
        maxRunning,
        maxWaiting,
        coldLimit,
        warmLimit,
        coldSlowFactor,
        warmUpCompletions,
        warmUpMillis,
        overloadReaction);
  }

  /** Returns this profile with a different reaction to overload while cold. */
  public EngineProfile withOverloadReaction(OverloadReaction other) {
    return new EngineProfile(
        stepBaseMicros,
        stepPerSequenceMicros,
        stepPerPrefillTokenMicros,
        prefillChunkTokens,
        memoryTokens,
        maxRunning,
        maxWaiting,
        coldLimit,
        warmLimit,
        coldSlowFactor,
        warmUpCompletions,
        warmUpMillis,
        other);
  }
}
