package org.cuminrack.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.cuminrack.http.Json;
import org.cuminrack.standin.OutputText;

/**
 * Reads the events of an answer and checks them: each index once, in order, and every word the one
 * that the stand-in engines give to this prompt.
 */
final class EventReader {
  private static final String DATA = "data: ";
  private static final String ERROR = "event: error";
  private static final String DONE = "[DONE]";

  private final OutputText expected;
  private final StringBuilder line = new StringBuilder();
  private int next;
  private int tokens;
  private boolean ended;
  private boolean done;
  private String fault = "";
  private boolean lost;

  EventReader(OutputText expected) {
    this.expected = expected;
  }

  /** Takes bytes in and returns how many tokens they completed. */
  int read(byte[] bytes, int length) {
    int before = tokens;
    String text = new String(bytes, 0, length, StandardCharsets.UTF_8);
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '\n') {
        takeLine(line.toString());
        line.setLength(0);
      } else {
        line.append(character);
      }
    }
    return tokens - before;
  }

  /** Returns whether the whole answer came and nothing was wrong with it. */
  boolean isWhole() {
    return ended && done && fault.isEmpty() && !lost;
  }

  /** Returns what was wrong with the answer; empty where nothing was. */
  String fault() {
    return fault;
  }

  private void takeLine(String text) {
    if (text.equals(ERROR)) {
      lost = true;
    }
    if (!text.startsWith(DATA) || lost) {
      return;
    }
    String data = text.substring(DATA.length());
    if (data.equals(DONE)) {
      done = true;
      return;
    }
    Either<String, JsonNode> event = Json.readTree(data.getBytes(StandardCharsets.UTF_8));
    if (event.isLeft()) {
      fault = event.getLeft();
    } else {
      takeEvent(event.get());
    }
  }

  private void takeEvent(JsonNode event) {
    int index = event.path("index").asInt(-1);
    if (index != next || ended) {
      fault = "expected index " + next + ", found " + index;
    }
    next++;
    if (event.has("finish_reason")) {
      ended = true;
      return;
    }
    String word = event.path("text").asText();
    if (!word.equals(expected.word(index))) {
      fault = "index " + index + ": expected " + expected.word(index) + ", found " + word;
    }
    tokens++;
  }
}
