package org.cuminrack.standin;

import java.util.SplittableRandom;

/**
 * A long-tailed (log-normal) distribution of output lengths.
 *
 * @param medianTokens half of the outputs are shorter
 * @param sigma standard deviation of the length's natural logarithm
 * @param maxTokens no output is longer
 */
public record OutputLengths(int medianTokens, double sigma, int maxTokens) {

  /** Outputs of 200 tokens in the median, up to 4,096. */
  public static OutputLengths standard() {
    return new OutputLengths(200, 1.0, 4_096);
  }

  /** Returns the length that belongs to a seed. */
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
