package org.cuminrack.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;

/** Reads and writes JSON with property names in snake case; rejects unknown properties. */
public final class Json {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Returns the value as UTF-8 encoded JSON. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + value.getClass() + " as JSON", e);
    }
  }

  /** Returns the value as JSON. */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + value.getClass() + " as JSON", e);
    }
  }

  /** Reads a value; the error describes the problem and its location. */
  public static <T> Either<String, T> read(byte[] json, Class<T> type) {
    try {
      T value = MAPPER.readValue(json, type);
      return value == null ? Either.left("expected an object, found null") : Either.right(value);
    } catch (JsonProcessingException e) {
      return Either.left(describe(e));
    } catch (IOException e) {
      return Either.left(e.getMessage());
    }
  }

  /** Reads any JSON value. */
  public static Either<String, JsonNode> readTree(byte[] json) {
    return read(json, JsonNode.class);
  }

  private static String describe(JsonProcessingException e) {
    String location =
        e.getLocation() == null
            ? ""
            : " (line "
                + e.getLocation().getLineNr()
                + ", column "
                + e.getLocation().getColumnNr()
                + ")";
    return e.getOriginalMessage() + location;
  }
}
