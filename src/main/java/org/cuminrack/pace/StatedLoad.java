package org.cuminrack.pace;

import java.util.OptionalDouble;

/**
 * The load that an upstream states in a response.
 *
 * @param running requests that it runs, 0 or more
 * @param waiting requests that wait there, 0 or more
 * @param slots requests that it can run at once, 1 or more
 * @param slowdown how long work takes there at this moment, as a multiple of what is usual; empty
 *     if it does not state it
 */
public record StatedLoad(int running, int waiting, int slots, OptionalDouble slowdown) {
  public StatedLoad {
    if (slowdown.isPresent() && !isPlausible(slowdown.getAsDouble())) {
      throw new IllegalArgumentException(
          "slowdown: expected a number above 0, found " + slowdown.getAsDouble());
    }
  }

  private static boolean isPlausible(double slowdown) {
    return slowdown > 0 && Double.isFinite(slowdown);
  }
}
