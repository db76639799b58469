package org.cuminrack.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;

/**
 * What an event of an engine says.
 *
 * @param index the token's place in the generation
 * @param finished true where no token follows
 */
record TokenData(int index, boolean finished) {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** Reads an event's data; empty where it is not a token's. */
  static Optional<TokenData> read(byte[] data) {
    int index = -1;
    boolean finished = false;
    try (JsonParser parser = FACTORY.createParser(data)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return Optional.empty();
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        parser.nextToken();
        if (name.equals("index")) {
          index = parser.getIntValue();
        }
        finished |= name.equals("finish_reason");
        parser.skipChildren();
      }
      boolean whole = parser.currentToken() == JsonToken.END_OBJECT;
      return whole && index >= 0 ? Optional.of(new TokenData(index, finished)) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
