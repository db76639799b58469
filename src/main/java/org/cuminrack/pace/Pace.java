package org.cuminrack.pace;

/**
 * The pace of one start of an upstream as it counts now.
 *
 * @param slowdown the expected duration of work as a multiple of what is usual at the service; near
 *     1 while there are few recent samples
 * @param samples the weight of the recent samples that it rests on
 */
public record Pace(double slowdown, double samples) {
  /** The pace of an upstream that nothing is known of. */
  public static final Pace USUAL = new Pace(1, 0);
}
