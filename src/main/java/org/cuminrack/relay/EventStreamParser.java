package org.cuminrack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Parses server-sent events incrementally. Skips comments, unknown fields and events without data.
 * Delivers an event only after its terminating empty line, so that a truncated event is never
 * delivered. The listener receives the event's ID, empty if there is none, and its last line of
 * data.
 */
final class EventStreamParser {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

  private final int maxEventBytes;
  private final BiConsumer<String, byte[]> listener;

  /** The bytes of a line whose line feed has not been received yet. */
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
      int end = findLineFeed(array, position, limit);
      boolean complete = end < limit;
      eventBytes += end - position;
      if (eventBytes > maxEventBytes) {
        return Optional.of("expected an event of at most " + maxEventBytes + " bytes");
      }
      if (complete && partialLine.size() == 0) {
        parseLine(array, position, end);
      } else {
        partialLine.write(array, position, end - position);
      }
      if (complete && partialLine.size() > 0) {
        byte[] joined = partialLine.toByteArray();
        partialLine.reset();
        parseLine(joined, 0, joined.length);
      }
      position = end + 1;
    }
    return Optional.empty();
  }

  private static int findLineFeed(byte[] array, int from, int limit) {
    int index = from;
    while (index < limit && array[index] != '\n') {
      index++;
    }
    return index;
  }

  private void parseLine(byte[] array, int from, int lineFeed) {
    int end = lineFeed > from && array[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
    if (end == from) {
      dispatchEvent();
    } else if (startsWith(array, from, end, DATA_FIELD)) {
      data = copyValue(array, from + DATA_FIELD.length, end);
    } else if (startsWith(array, from, end, ID_FIELD)) {
      id = new String(copyValue(array, from + ID_FIELD.length, end), StandardCharsets.UTF_8);
    }
  }

  private static boolean startsWith(byte[] array, int from, int end, byte[] field) {
    return end - from >= field.length
        && Arrays.equals(array, from, from + field.length, field, 0, field.length);
  }

  private static byte[] copyValue(byte[] array, int from, int end) {
    int start = from < end && array[from] == ' ' ? from + 1 : from;
    return Arrays.copyOfRange(array, start, end);
  }

  private void dispatchEvent() {
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
