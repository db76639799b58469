package org.cuminrack.standin;

import java.util.SplittableRandom;

/**
 * A long-tailed (log-normal) distribution of output lengths.
 *
 * @param medianTokens the median length
 * @param sigma standard deviation of the length's natural logarithm
 * @param maxTokens the maximum length
 */
public record OutputLengths(int medianTokens, double sigma, int maxTokens) {

  /** Returns a distribution with a median of 200 tokens and a maximum of 4,096. */
  public static OutputLengths standard() {
    return new OutputLengths(200, 1.0, 4_096);
  }

  /** Returns the output length for a seed; the same seed always gives the same length. */
  public int draw(long seed) {
    double normal = gaussian(new SplittableRandom(seed));
    double tokens = medianTokens * Math.exp(sigma * normal);
    return (int) Math.max(1, Math.min(maxTokens, Math.round(tokens)));
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
