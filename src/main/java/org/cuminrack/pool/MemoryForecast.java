package org.cuminrack.pool;

import java.util.Arrays;

/**
 * Predicts the KV cache memory that the sequences of an upstream occupy after fixed numbers of
 * further tokens. A sequence that still runs after {@code t} more tokens occupies memory for its
 * prompt, its output so far and {@code t} tokens. The probability that it still runs is taken from
 * its length distribution, conditional on its output so far.
 */
final class MemoryForecast {
  private static final int[] HORIZON_TOKENS = {
    0, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192, 16384
  };
  private static final double MARGIN_STANDARD_DEVIATIONS = 1;

  private final double[] mean = new double[HORIZON_TOKENS.length];
  private final double[] variance = new double[HORIZON_TOKENS.length];

  /** Resets the forecast to a constant number of occupied tokens. */
  void clear(double occupiedTokens) {
    Arrays.fill(mean, occupiedTokens);
    Arrays.fill(variance, 0);
  }

  void add(Sequence sequence) {
    addWeighted(sequence, 1);
  }

  /** Removes a sequence; it must equal the one that was added. */
  void remove(Sequence sequence) {
    addWeighted(sequence, -1);
  }

  private void addWeighted(Sequence sequence, int sign) {
    double survivalSoFar = sequence.survivalSoFar();
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      double survival = sequence.survival(HORIZON_TOKENS[i], survivalSoFar);
      double occupiedTokens = sequence.occupiedTokens() + HORIZON_TOKENS[i];
      mean[i] += sign * survival * occupiedTokens;
      variance[i] += sign * survival * (1 - survival) * occupiedTokens * occupiedTokens;
    }
  }

  /** Returns the predicted peak use, in tokens, with one more sequence. */
  double peakTokensWith(Sequence additional) {
    add(additional);
    double peak = peakTokens();
    remove(additional);
    return peak;
  }

  /** Returns the predicted peak use, in tokens. */
  double peakTokens() {
    double peak = 0;
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      peak =
          Math.max(
              peak, mean[i] + MARGIN_STANDARD_DEVIATIONS * Math.sqrt(Math.max(0, variance[i])));
    }
    return peak;
  }
}
