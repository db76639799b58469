package org.cuminrack.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events without changing their bytes. An event
 * is complete at its empty line, so a truncated one is never forwarded.
 */
final class EventSplitter {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final int maxEventBytes;
  private final Listener listener;
  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private int lineStart;
  private String id = "";

  EventSplitter(int maxEventBytes, Listener listener) {
    this.maxEventBytes = maxEventBytes;
    this.listener = listener;
  }

  /** Receives each complete event. */
  interface Listener {
    /**
     * A complete event: its id, empty if it has none, and all its bytes including the empty line.
     */
    void event(String id, byte[] bytes);
  }

  /** Processes the next bytes of the stream; returns an error if an event is too large. */
  Optional<String> feed(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      event.write(next);
      if (event.size() > maxEventBytes) {
        return Optional.of("expected an event of at most " + maxEventBytes + " bytes");
      }
      if (next == '\n') {
        onLineEnd();
      }
    }
    return Optional.empty();
  }

  /** Returns whether the bytes so far end inside an event. */
  boolean isInsideEvent() {
    return event.size() > 0;
  }

  private void onLineEnd() {
    byte[] bytes = event.toByteArray();
    int end = bytes.length - 1;
    if (end > lineStart && bytes[end - 1] == '\r') {
      end--;
    }
    if (end == lineStart) {
      String completedId = id;
      event.reset();
      lineStart = 0;
      id = "";
      listener.event(completedId, bytes);
      return;
    }
    if (isIdField(bytes, lineStart, end)) {
      int from = lineStart + ID_FIELD.length;
      id = new String(bytes, from, end - from, StandardCharsets.UTF_8).strip();
    }
    lineStart = bytes.length;
  }

  private static boolean isIdField(byte[] bytes, int from, int end) {
    if (end - from < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (bytes[from + i] != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }
}
