package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads typed fields of a JSON object; throws {@link InvalidFieldException} if a required field is
 * missing or a field has the wrong type.
 */
final class JsonFields {

  private JsonFields() {}

  /** Thrown if a field does not match the platform's specification. */
  static final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String message) {
      super(message);
    }
  }

  /** Returns a string; rejects an empty one. */
  static String string(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isTextual() && !value.textValue().isEmpty(), name, "a text", value);
    return value.textValue();
  }

  static long integer(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isIntegralNumber() && value.canConvertToLong(), name, "a whole number", value);
    return value.longValue();
  }

  static long integer(JsonNode object, String name, long defaultValue) {
    return object.has(name) ? integer(object, name) : defaultValue;
  }

  static double number(JsonNode object, String name, double defaultValue) {
    JsonNode value = object.path(name);
    if (value.isMissingNode() || value.isNull()) {
      return defaultValue;
    }
    require(value.isNumber(), name, "a number", value);
    return value.doubleValue();
  }

  static boolean bool(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isBoolean() || value.isMissingNode(), name, "true or false", value);
    return value.asBoolean(false);
  }

  static JsonNode array(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isArray(), name, "a list", value);
    return value;
  }

  static void require(boolean condition, String name, String expected, Object found) {
    if (!condition) {
      throw new InvalidFieldException(name + ": expected " + expected + ", found " + found);
    }
  }
}
