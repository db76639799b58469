package org.cuminrack.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.cuminrack.http.Json;

/** Prints the text of a generation's events as they arrive. */
final class EventPrinter {
  private static final String DATA_PREFIX = "data: ";

  private final PrintStream out;
  private final StringBuilder line = new StringBuilder();

  EventPrinter(PrintStream out) {
    this.out = out;
  }

  /** Parses received bytes, which may end within a line. */
  void accept(ByteString bytes) {
    for (char each : bytes.toString(StandardCharsets.UTF_8).toCharArray()) {
      if (each == '\n') {
        print(line.toString());
        line.setLength(0);
      } else {
        line.append(each);
      }
    }
  }

  private void print(String text) {
    if (!text.startsWith(DATA_PREFIX)) {
      return;
    }
    byte[] json = text.substring(DATA_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
    JsonNode data = Json.readTree(json).getOrNull();
    if (data != null && data.has("text")) {
      out.print(data.get("text").asText());
      out.flush();
    }
  }
}
