package org.cuminrack.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** Takes typed fields out of a JSON object; throws where one is missing or of another type. */
final class JsonFields {

  private JsonFields() {}

  /** A document that isn't what the platform's pages describe. */
  static final class Unexpected extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Unexpected(String message) {
      super(message);
    }
  }

  static String text(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isTextual() && !value.textValue().isEmpty(), name, "a text", value);
    return value.textValue();
  }

  static long whole(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isIntegralNumber() && value.canConvertToLong(), name, "a whole number", value);
    return value.longValue();
  }

  static long whole(JsonNode object, String name, long otherwise) {
    return object.has(name) ? whole(object, name) : otherwise;
  }

  static double number(JsonNode object, String name, double otherwise) {
    JsonNode value = object.path(name);
    if (value.isMissingNode() || value.isNull()) {
      return otherwise;
    }
    require(value.isNumber(), name, "a number", value);
    return value.doubleValue();
  }

  static boolean flag(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isBoolean() || value.isMissingNode(), name, "true or false", value);
    return value.asBoolean(false);
  }

  static JsonNode list(JsonNode object, String name) {
    JsonNode value = object.path(name);
    require(value.isArray(), name, "a list", value);
    return value;
  }

  static void require(boolean condition, String name, String expected, Object found) {
    if (!condition) {
      throw new Unexpected(name + ": expected " + expected + ", found " + found);
    }
  }
}
