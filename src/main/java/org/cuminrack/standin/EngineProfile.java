package org.cuminrack.standin;

/**
 * The cost and memory model of one engine. A step makes one token for every decoding sequence and
 * takes {@code stepBaseMicros + decoding * stepPerSequenceMicros + prefilled *
 * stepPerPrefillTokenMicros}, times the slow factor while cold.
 *
 * @param stepBaseMicros the part of a step that does not depend on its batch
 * @param stepPerSequenceMicros added for each decoding sequence
 * @param stepPerPrefillTokenMicros added for each prompt token computed
 * @param prefillChunkTokens prompt tokens computed in one step at most
 * @param memoryTokens key-value memory, in tokens
 * @param maxRunning sequences in one batch at most
 * @param maxWaiting sequences queued at most; more are refused
 * @param coldLimit concurrent requests it carries just after its start
 * @param warmLimit concurrent requests at which it still keeps its targets once warm
 * @param coldSlowFactor how many times longer a step takes just after the start
 * @param warmUpCompletions requests completed after which it is warm
 * @param warmUpMillis time spent in steps after which it is warm
 * @param fallOver what it does when given more than it can carry while not warm
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
    FallOver fallOver) {

  /** Tokens in one block of key-value memory. */
  public static final int BLOCK_TOKENS = 16;

  private static final EngineProfile STANDARD =
      new EngineProfile(
          14_000, 600, 30, 192, 24_576, 64, 256, 4, 32, 4.0, 24, 30_000, FallOver.CRASH);

  /** An engine whose full step at its warm limit takes 39 ms. */
  public static EngineProfile standard() {
    return STANDARD;
  }

  /** Returns this profile with other limits of concurrent requests. */
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
        fallOver);
  }

  /** Returns this profile with another size of key-value memory. */
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
        fallOver);
  }

  /** Returns this profile with another way of falling over. */
  public EngineProfile withFallOver(FallOver other) {
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
