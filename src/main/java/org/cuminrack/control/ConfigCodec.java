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

/** Encodes configuration objects as JSON in protobuf messages and decodes them. */
public final class ConfigCodec {
  private ConfigCodec() {}

  /** Encodes an object as JSON; equal objects have equal encodings. */
  public static ByteString encode(ConfigObject object) {
    return ByteString.copyFrom(Json.bytes(object));
  }

  /** Decodes an object, or returns the parse error. */
  public static Either<String, ConfigObject> decode(ConfigKind kind, byte[] json) {
    return Json.read(json, kind.type()).flatMap(ConfigCodec::requireName);
  }

  /** Returns the kind with this name, if there is one. */
  public static Optional<ConfigKind> findKind(String name) {
    return Arrays.stream(ConfigKind.values()).filter(kind -> kind.name().equals(name)).findFirst();
  }

  /** Returns the message for an existing object. */
  static ConfigObjectData toData(VersionedObject versioned) {
    return ConfigObjectData.newBuilder()
        .setKind(versioned.object().kind().name())
        .setName(versioned.object().name())
        .setJson(encode(versioned.object()))
        .setRevision(versioned.revision())
        .build();
  }

  /** Returns the message for an object that does not exist. */
  static ConfigObjectData absentData(ConfigKey key) {
    return ConfigObjectData.newBuilder().setKind(key.kind().name()).setName(key.name()).build();
  }

  /** Decodes the object of a message that this codec encoded. */
  public static VersionedObject toVersionedObject(ConfigObjectData data) {
    ConfigKind kind = ConfigKind.valueOf(data.getKind());
    ConfigObject object =
        decode(kind, data.getJson().toByteArray())
            .getOrElseThrow(error -> new IllegalStateException(data.getName() + ": " + error));
    return new VersionedObject(object, data.getRevision());
  }

  /** Returns the key of the object in a message. */
  public static ConfigKey key(ConfigObjectData data) {
    return new ConfigKey(ConfigKind.valueOf(data.getKind()), data.getName());
  }

  /** Returns the change that creates or replaces an object. */
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

  private static Either<String, ConfigObject> requireName(ConfigObject object) {
    if (object.name() == null || object.name().isBlank()) {
      return Either.left("name: expected a name, found none");
    }
    return Either.right(object);
  }
}
