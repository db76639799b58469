package org.cuminrack.pool;

import java.util.Arrays;

/**
 * How much key-value memory the sequences of an upstream are predicted to hold, at fixed numbers of
 * tokens from now. A sequence that still runs after {@code t} tokens holds its prompt, what it has
 * produced and {@code t}; it still runs with the probability that its distribution of lengths
 * gives, on the condition of what it has produced already.
 */
final class MemoryForecast {
  private static final int[] HORIZON_TOKENS = {
    0, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192, 16384
  };
  private static final double STANDARD_DEVIATIONS = 1;

  private final double[] mean = new double[HORIZON_TOKENS.length];
  private final double[] variance = new double[HORIZON_TOKENS.length];

  /** Begins anew, with so many tokens that are held all the time. */
  void clear(double heldTokens) {
    Arrays.fill(mean, heldTokens);
    Arrays.fill(variance, 0);
  }

  /** Adds a sequence. */
  void add(Sequence sequence) {
    addWeighted(sequence, 1);
  }

  /** Takes a sequence out that was added as it is. */
  void remove(Sequence sequence) {
    addWeighted(sequence, -1);
  }

  private void addWeighted(Sequence sequence, int sign) {
    double alive = sequence.survivalSoFar();
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      double survival = sequence.survival(HORIZON_TOKENS[i], alive);
      double held = sequence.heldTokens() + HORIZON_TOKENS[i];
      mean[i] += sign * survival * held;
      variance[i] += sign * survival * (1 - survival) * held * held;
    }
  }

  /** Returns the highest predicted use, in tokens, of the sequences added and one more. */
  double peakTokensWith(Sequence more) {
    add(more);
    double peak = peakTokens();
    remove(more);
    return peak;
  }

  /** Returns the highest predicted use of the sequences added, in tokens. */
  double peakTokens() {
    double peak = 0;
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      peak = Math.max(peak, mean[i] + STANDARD_DEVIATIONS * Math.sqrt(Math.max(0, variance[i])));
    }
    return peak;
  }
}
