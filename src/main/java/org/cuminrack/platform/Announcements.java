package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.http.Json;

/** Decodes the announcements of upstreams. */
final class Announcements {
  private static final int MAX_PORT = 65_535;

  private Announcements() {}

  /** Decodes a heartbeat. */
  static Either<String, UpstreamRecord> heartbeat(String id, byte[] body, long nowNanos) {
    Either<String, JsonNode> tree = Json.readTree(body);
    if (tree.isLeft()) {
      return Either.left(tree.getLeft());
    }
    try {
      return Either.right(heartbeat(id, tree.get(), nowNanos));
    } catch (JsonFields.InvalidFieldException e) {
      return Either.left(e.getMessage());
    }
  }

  private static UpstreamRecord heartbeat(String id, JsonNode report, long nowNanos) {
    JsonFields.require(report.isObject(), "report", "an object", report.getNodeType());
    long coldMillis = JsonFields.integer(report, "cold-left-ms", 0);
    return new UpstreamRecord(
        id,
        JsonFields.string(report, "service"),
        address(JsonFields.string(report, "address")),
        JsonFields.string(report, "zone"),
        (int) JsonFields.integer(report, "slots"),
        phase(JsonFields.string(report, "state")),
        JsonFields.integer(report, "born", 0),
        // Despite its name, counts the reports of this upstream.
        JsonFields.integer(report, "call-seq"),
        nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, coldMillis)),
        nowNanos,
        report.path("version").asText(""));
  }

  private static String address(String text) {
    int colon = text.lastIndexOf(':');
    boolean isAddress =
        colon > 0
            && text.substring(0, colon).matches("[0-9.]+")
            && text.substring(colon + 1).matches("[0-9]{1,5}")
            && Integer.parseInt(text.substring(colon + 1)) <= MAX_PORT;
    JsonFields.require(isAddress, "address", "an IP number and a port", text);
    return text;
  }

  private static UpstreamPhase phase(String state) {
    return switch (state) {
      case "ready" -> UpstreamPhase.READY;
      case "draining" -> UpstreamPhase.DRAINING;
      default ->
          throw new JsonFields.InvalidFieldException(
              "state: expected a known state, found " + state);
    };
  }

  /**
   * Decodes a leave announcement; empty if it does not state its incarnation and the upstream is
   * not known.
   *
   * @param latest the upstream's latest announcement, which may be of another incarnation
   */
  static Optional<UpstreamRecord> leave(
      String id, Optional<UpstreamRecord> latest, byte[] body, long nowNanos) {
    Either<String, JsonNode> tree = body.length == 0 ? Either.left("no body") : Json.readTree(body);
    Optional<Long> statedMillis =
        tree.toJavaOptional()
            .map(json -> json.path("born"))
            .filter(JsonNode::isIntegralNumber)
            .map(JsonNode::asLong);
    Optional<UpstreamRecord> known =
        latest.filter(
            upstream -> statedMillis.filter(born -> born != upstream.startedMillis()).isEmpty());
    return known
        .map(upstream -> left(upstream, nowNanos))
        .or(
            () ->
                statedMillis.map(
                    born -> UpstreamRecord.departed(id, UpstreamPhase.LEFT, born, 0, nowNanos)));
  }

  private static UpstreamRecord left(UpstreamRecord latest, long nowNanos) {
    return new UpstreamRecord(
        latest.id(),
        latest.service(),
        latest.address(),
        latest.dataCentre(),
        latest.slots(),
        UpstreamPhase.LEFT,
        latest.startedMillis(),
        latest.sequence(),
        latest.coldUntilNanos(),
        nowNanos,
        latest.version());
  }
}
