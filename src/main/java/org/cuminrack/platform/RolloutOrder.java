package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import org.cuminrack.http.Json;

/**
 * An operator's order to roll out a version.
 *
 * @param to the new version
 */
record RolloutOrder(String service, String to, Duration duration) {
  private static final double MAX_SECONDS = Duration.ofDays(30).toSeconds();
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Decodes an order, or says which field is invalid. */
  static Either<String, RolloutOrder> decode(byte[] body) {
    Either<String, JsonNode> tree = Json.readTree(body);
    if (tree.isLeft()) {
      return Either.left(tree.getLeft());
    }
    try {
      JsonNode order = tree.get();
      JsonFields.require(order.isObject(), "order", "an object", order.getNodeType());
      double seconds = JsonFields.number(order, "duration-s", 0);
      JsonFields.require(
          seconds >= 1 / MILLIS_PER_SECOND && seconds <= MAX_SECONDS,
          "duration-s",
          "more than 0, at most 30 days",
          order.path("duration-s"));
      return Either.right(
          new RolloutOrder(
              JsonFields.string(order, "service"),
              JsonFields.string(order, "to"),
              Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND))));
    } catch (JsonFields.InvalidFieldException e) {
      return Either.left(e.getMessage());
    }
  }
}
