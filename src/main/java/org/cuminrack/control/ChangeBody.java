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
 * An operator's change, as its JSON has it.
 *
 * @param changeId makes a resend safe
 * @param changes taken all together or not at all
 */
public record ChangeBody(String changeId, List<ObjectBody> changes) {

  /**
   * One object's change.
   *
   * @param object the object; null removes it
   */
  public record ObjectBody(String kind, String name, long expectedRevision, JsonNode object) {}

  /** Returns the request to control, or what is wrong with this one. */
  Either<String, ChangeRequest> toRequest() {
    if (changeId == null || changeId.isBlank()) {
      return Either.left("change_id: expected one, found none");
    }
    if (changes == null || changes.isEmpty()) {
      return Either.left("changes: expected one or more, found none");
    }
    ChangeRequest.Builder request = ChangeRequest.newBuilder().setChangeId(changeId);
    for (ObjectBody each : changes) {
      Either<String, ObjectChange> change = change(each);
      if (change.isLeft()) {
        return Either.left(change.getLeft());
      }
      request.addChanges(change.get());
    }
    return Either.right(request.build());
  }

  private static Either<String, ObjectChange> change(ObjectBody body) {
    Optional<ConfigKind> kind = ConfigCodec.kind(String.valueOf(body.kind()));
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
        .mapLeft(fault -> key + ": " + fault)
        .filterOrElse(
            object -> object.name().equals(body.name()),
            object -> key + ": the object's own name is '" + object.name() + "'")
        .map(object -> ConfigCodec.put(object, body.expectedRevision()));
  }

  /** Returns the JSON of an object inside an answer. */
  static JsonNode tree(ByteString json) {
    return Json.readTree(json.toByteArray()).getOrNull();
  }
}
