package org.cuminrack.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ObjectChange;
import org.cuminrack.http.Json;

/**
 * A configuration change as sent by an operator in JSON.
 *
 * @param changeId idempotency key; a resend with the same id returns the first verdict
 * @param changes applied atomically
 */
public record ChangeBody(String changeId, List<ObjectBody> changes) {

  /**
   * The change of one object.
   *
   * @param object the new content; null removes the object
   */
  public record ObjectBody(String kind, String name, long expectedRevision, JsonNode object) {}

  /** Converts this body to a control request, or returns the validation error. */
  Either<String, ChangeRequest> toRequest() {
    if (changeId == null || changeId.isBlank()) {
      return Either.left("change_id: expected one, found none");
    }
    if (changes == null || changes.isEmpty()) {
      return Either.left("changes: expected one or more, found none");
    }
    ChangeRequest.Builder request = ChangeRequest.newBuilder().setChangeId(changeId);
    for (ObjectBody body : changes) {
      Either<String, ObjectChange> change = toObjectChange(body);
      if (change.isLeft()) {
        return Either.left(change.getLeft());
      }
      request.addChanges(change.get());
    }
    return Either.right(request.build());
  }

  private static Either<String, ObjectChange> toObjectChange(ObjectBody body) {
    Optional<ConfigKind> kind = ConfigCodec.findKind(String.valueOf(body.kind()));
    if (kind.isEmpty()) {
      return Either.left("kind: expected a kind of object, found '" + body.kind() + "'");
    }
    if (body.name() == null || body.name().isBlank()) {
      return Either.left("name: expected a name, found none");
    }
    ConfigKey key = new ConfigKey(kind.get(), body.name());
    if (body.object() == null || body.object().isNull()) {
      return Either.right(ConfigCodec.remove(key, body.expectedRevision()));
    }
    return ConfigCodec.decode(kind.get(), Json.bytes(body.object()))
        .mapLeft(error -> key + ": " + error)
        .filterOrElse(
            object -> object.name().equals(body.name()),
            object -> key + ": the object's own name is '" + object.name() + "'")
        .map(object -> ConfigCodec.put(object, body.expectedRevision()));
  }

  /**
   * Parses the JSON of an object for embedding in a response; null if it is absent or malformed.
   */
  static JsonNode parseJson(ByteString json) {
    return Json.readTree(json.toByteArray()).getOrNull();
  }
}
