package org.cuminrack.operator;

import com.fasterxml.jackson.databind.JsonNode;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.http.Json;

/**
 * One object's part of a change.
 *
 * @param expectedRevision the revision the object must still be at; 0 where it must not exist
 * @param object what it becomes; null removes it
 */
public record ObjectChange(ConfigKind kind, String name, long expectedRevision, JsonNode object) {

  /** Creates an object or replaces the one at the expected revision. */
  public static ObjectChange put(ConfigObject object, long expectedRevision) {
    JsonNode tree = Json.readTree(Json.bytes(object)).get();
    return new ObjectChange(object.kind(), object.name(), expectedRevision, tree);
  }

  /** Removes the object at the expected revision. */
  public static ObjectChange remove(ConfigKey key, long expectedRevision) {
    return new ObjectChange(key.kind(), key.name(), expectedRevision, null);
  }

  /** Returns the kind and name of the object. */
  public ConfigKey key() {
    return new ConfigKey(kind, name);
  }
}
