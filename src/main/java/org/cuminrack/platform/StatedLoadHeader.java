package org.cuminrack.platform;

import io.vavr.control.Either;
import java.util.OptionalDouble;
import org.cuminrack.pace.StatedLoad;

/**
 * Reads the header in which servers state their load: {@code running,waiting,slots}, on some
 * deployments followed by the duration of work in percent of the usual one.
 */
final class StatedLoadHeader {
  private static final int FIELDS = 3;
  private static final int MAX_REQUESTS = 1_000_000;
  private static final double PERCENT = 100;
  private static final double MAX_SLOWDOWN = 100;

  private StatedLoadHeader() {}

  /** Returns the stated load, or an error text. */
  static Either<String, StatedLoad> parse(String text) {
    String[] parts = text.split(",", -1);
    if (parts.length < FIELDS || parts.length > FIELDS + 1) {
      return invalid(text);
    }
    try {
      int running = Integer.parseInt(parts[0].strip());
      int waiting = Integer.parseInt(parts[1].strip());
      int slots = Integer.parseInt(parts[2].strip());
      boolean isPlausible = isCount(running) && isCount(waiting) && isCount(slots) && slots > 0;
      if (!isPlausible) {
        return invalid(text);
      }
      if (parts.length == FIELDS) {
        return Either.right(new StatedLoad(running, waiting, slots, OptionalDouble.empty()));
      }
      double slowdown = Double.parseDouble(parts[FIELDS].strip()) / PERCENT;
      return slowdown > 0 && slowdown <= MAX_SLOWDOWN
          ? Either.right(new StatedLoad(running, waiting, slots, OptionalDouble.of(slowdown)))
          : invalid(text);
    } catch (NumberFormatException e) {
      return invalid(text);
    }
  }

  private static boolean isCount(int value) {
    return value >= 0 && value <= MAX_REQUESTS;
  }

  private static Either<String, StatedLoad> invalid(String text) {
    return Either.left(
        "Server-Load: expected running,waiting,slots and perhaps a percentage, found '"
            + text
            + "'");
  }
}
