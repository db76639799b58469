package org.cuminrack.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;

/**
 * A token event of an engine stream.
 *
 * @param index the token's position in the generation
 * @param isLastToken true if it is the last token
 */
record TokenEvent(int index, boolean isLastToken) {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** Parses the data of an event; returns empty if it is not a token. */
  static Optional<TokenEvent> parse(byte[] data) {
    int index = -1;
    boolean isLastToken = false;
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
        isLastToken |= name.equals("finish_reason");
        parser.skipChildren();
      }
      boolean complete = parser.currentToken() == JsonToken.END_OBJECT;
      return complete && index >= 0
          ? Optional.of(new TokenEvent(index, isLastToken))
          : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
