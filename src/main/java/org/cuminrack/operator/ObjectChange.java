package org.cuminrack.operator;

import com.fasterxml.jackson.databind.JsonNode;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigKind;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.http.Json;

/**
 * The change of one object within a change request.
 *
 * @param expectedRevision the revision that the object must be at; 0 if it must not exist
 * @param object the new object; null removes it
 */
public record ObjectChange(ConfigKind kind, String name, long expectedRevision, JsonNode object) {

  /** Returns a change that creates an object or replaces the one at the expected revision. */
  public static ObjectChange put(ConfigObject object, long expectedRevision) {
    JsonNode tree = Json.readTree(Json.bytes(object)).get();
    return new ObjectChange(object.kind(), object.name(), expectedRevision, tree);
  }

  /** Returns a change that removes the object at the expected revision. */
  public static ObjectChange remove(ConfigKey key, long expectedRevision) {
    return new ObjectChange(key.kind(), key.name(), expectedRevision, null);
  }

  /** Returns the kind and name of the object. */
  public ConfigKey key() {
    return new ConfigKey(kind, name);
  }
}
