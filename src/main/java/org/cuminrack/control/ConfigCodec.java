package org.cuminrack.control;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Optional;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.VersionedObject;
import org.cuminrack.generated.control.ConfigObjectData;
import org.cuminrack.generated.control.ObjectChange;
import org.cuminrack.http.Json;

/** Writes configuration objects as JSON inside protobuf messages, and reads them back. */
public final class ConfigCodec {
  private ConfigCodec() {}

  /** Returns the JSON of an object; equal objects have equal JSON. */
  public static ByteString encode(ConfigObject object) {
    return ByteString.copyFrom(Json.bytes(object));
  }

  /** Returns the object, or what is wrong with its JSON. */
  public static Either<String, ConfigObject> decode(ConfigKind kind, byte[] json) {
    return Json.read(json, kind.type()).flatMap(ConfigCodec::check);
  }

  /** Returns the kind with this name. */
  public static Optional<ConfigKind> kind(String name) {
    return Arrays.stream(ConfigKind.values()).filter(each -> each.name().equals(name)).findFirst();
  }

  /** Returns the message for an object as it stands. */
  static ConfigObjectData data(VersionedObject versioned) {
    return ConfigObjectData.newBuilder()
        .setKind(versioned.object().kind().name())
        .setName(versioned.object().name())
        .setJson(encode(versioned.object()))
        .setRevision(versioned.revision())
        .build();
  }

  /** Returns the message for an object that does not exist. */
  static ConfigObjectData absent(ConfigKey key) {
    return ConfigObjectData.newBuilder().setKind(key.kind().name()).setName(key.name()).build();
  }

  /** Returns the object of a message that this codec wrote. */
  public static VersionedObject object(ConfigObjectData data) {
    ConfigKind kind = ConfigKind.valueOf(data.getKind());
    ConfigObject object =
        decode(kind, data.getJson().toByteArray())
            .getOrElseThrow(fault -> new IllegalStateException(data.getName() + ": " + fault));
    return new VersionedObject(object, data.getRevision());
  }

  /** Returns the key of a message. */
  public static ConfigKey key(ConfigObjectData data) {
    return new ConfigKey(ConfigKind.valueOf(data.getKind()), data.getName());
  }

  /** Returns the change that writes an object. */
  public static ObjectChange put(ConfigObject object, long expectedRevision) {
    return ObjectChange.newBuilder()
        .setKind(object.kind().name())
        .setName(object.name())
        .setExpectedRevision(expectedRevision)
        .setJson(encode(object))
        .build();
  }

  /** Returns the change that removes an object. */
  public static ObjectChange remove(ConfigKey key, long expectedRevision) {
    return ObjectChange.newBuilder()
        .setKind(key.kind().name())
        .setName(key.name())
        .setExpectedRevision(expectedRevision)
        .build();
  }

  private static Either<String, ConfigObject> check(ConfigObject object) {
    if (object.name() == null || object.name().isBlank()) {
      return Either.left("name: expected a name, found none");
    }
    return Either.right(object);
  }
}
