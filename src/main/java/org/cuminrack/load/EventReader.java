package org.cuminrack.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.cuminrack.http.Json;
import org.cuminrack.standin.OutputText;

/**
 * Parses the events of a response and verifies them: the indices are consecutive from 0, and every
 * word is the one that the emulated engines generate for the prompt.
 */
final class EventReader {
  private static final String DATA_PREFIX = "data: ";
  private static final String ERROR_LINE = "event: error";
  private static final String DONE_DATA = "[DONE]";

  private final OutputText expected;
  private final StringBuilder line = new StringBuilder();
  private int nextIndex;
  private int tokens;
  private boolean finishReasonReceived;
  private boolean doneReceived;
  private String error = "";
  private boolean errorReceived;

  EventReader(OutputText expected) {
    this.expected = expected;
  }

  /** Parses bytes and returns how many tokens they completed. */
  int read(byte[] bytes, int length) {
    int before = tokens;
    String text = new String(bytes, 0, length, StandardCharsets.UTF_8);
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '\n') {
        parseLine(line.toString());
        line.setLength(0);
      } else {
        line.append(character);
      }
    }
    return tokens - before;
  }

  /** Returns whether the complete response has arrived without errors. */
  boolean isComplete() {
    return finishReasonReceived && doneReceived && error.isEmpty() && !errorReceived;
  }

  /**
   * Returns the last parsing or verification error, or an empty string; does not include error
   * events.
   */
  String error() {
    return error;
  }

  private void parseLine(String text) {
    if (text.equals(ERROR_LINE)) {
      errorReceived = true;
    }
    if (!text.startsWith(DATA_PREFIX) || errorReceived) {
      return;
    }
    String data = text.substring(DATA_PREFIX.length());
    if (data.equals(DONE_DATA)) {
      doneReceived = true;
      return;
    }
    Either<String, JsonNode> event = Json.readTree(data.getBytes(StandardCharsets.UTF_8));
    if (event.isLeft()) {
      error = event.getLeft();
    } else {
      verifyEvent(event.get());
    }
  }

  private void verifyEvent(JsonNode event) {
    int index = event.path("index").asInt(-1);
    if (index != nextIndex || finishReasonReceived) {
      error = "expected index " + nextIndex + ", found " + index;
    }
    nextIndex++;
    if (event.has("finish_reason")) {
      finishReasonReceived = true;
      return;
    }
    String word = event.path("text").asText();
    if (!word.equals(expected.word(index))) {
      error = "index " + index + ": expected " + expected.word(index) + ", found " + word;
    }
    tokens++;
  }
}
