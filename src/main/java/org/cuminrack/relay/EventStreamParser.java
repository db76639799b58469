package org.cuminrack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Parses server-sent events incrementally. Skips comments and unknown fields. Delivers an event
 * only after its terminating empty line, so that a truncated event is never delivered. The listener
 * receives the event's ID, empty if there is none, and its data, a single line.
 */
final class EventStreamParser {
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

  private final int maxEventBytes;
  private final BiConsumer<String, byte[]> listener;

  /** The start of a line whose end has not been received yet. */
  private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

  private String id = "";
  private byte[] data;
  private int eventBytes;

  EventStreamParser(int maxEventBytes, BiConsumer<String, byte[]> listener) {
    this.maxEventBytes = maxEventBytes;
    this.listener = listener;
  }

  /** Parses bytes of an array-backed buffer; returns an error message if they are malformed. */
  Optional<String> feed(ByteBuffer bytes) {
    byte[] array = bytes.array();
    int position = bytes.arrayOffset() + bytes.position();
    int limit = bytes.arrayOffset() + bytes.limit();
    bytes.position(bytes.limit());
    while (position < limit) {
      int end = endOfLine(array, position, limit);
      boolean complete = end < limit;
      eventBytes += end - position;
      if (eventBytes > maxEventBytes) {
        return Optional.of("expected an event of at most " + maxEventBytes + " bytes");
      }
      if (complete && partialLine.size() == 0) {
        line(array, position, end);
      } else {
        partialLine.write(array, position, end - position);
      }
      if (complete && partialLine.size() > 0) {
        byte[] joined = partialLine.toByteArray();
        partialLine.reset();
        line(joined, 0, joined.length);
      }
      position = end + 1;
    }
    return Optional.empty();
  }

  private static int endOfLine(byte[] array, int from, int limit) {
    int at = from;
    while (at < limit && array[at] != '\n') {
      at++;
    }
    return at;
  }

  private void line(byte[] array, int from, int lineFeed) {
    int end = lineFeed > from && array[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
    if (end == from) {
      endOfEvent();
    } else if (startsWith(array, from, end, DATA)) {
      data = value(array, from + DATA.length, end);
    } else if (startsWith(array, from, end, ID)) {
      id = new String(value(array, from + ID.length, end), StandardCharsets.UTF_8);
    }
  }

  private static boolean startsWith(byte[] array, int from, int end, byte[] field) {
    return end - from >= field.length
        && Arrays.equals(array, from, from + field.length, field, 0, field.length);
  }

  private static byte[] value(byte[] array, int from, int end) {
    int start = from < end && array[from] == ' ' ? from + 1 : from;
    return Arrays.copyOfRange(array, start, end);
  }

  private void endOfEvent() {
    String completedId = id;
    byte[] completedData = data;
    id = "";
    data = null;
    eventBytes = 0;
    if (completedData != null) {
      listener.accept(completedId, completedData);
    }
  }
}
