package org.cuminrack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Takes server-sent events out of bytes as they arrive. Comments and unknown fields are passed
 * over; an event counts once its empty line has come, so a cut one is never delivered. The listener
 * gets an event's id, empty where it has none, and its data, one line.
 */
final class EventStreamParser {
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

  private final int maxEventBytes;
  private final BiConsumer<String, byte[]> listener;

  /** The begin of a line whose end has not come yet. */
  private final ByteArrayOutputStream begun = new ByteArrayOutputStream();

  private String id = "";
  private byte[] data;
  private int eventBytes;

  EventStreamParser(int maxEventBytes, BiConsumer<String, byte[]> listener) {
    this.maxEventBytes = maxEventBytes;
    this.listener = listener;
  }

  /** Takes bytes of a buffer with an array in; returns what is wrong with them, if anything is. */
  Optional<String> feed(ByteBuffer bytes) {
    byte[] array = bytes.array();
    int position = bytes.arrayOffset() + bytes.position();
    int limit = bytes.arrayOffset() + bytes.limit();
    bytes.position(bytes.limit());
    while (position < limit) {
      int end = endOfLine(array, position, limit);
      boolean whole = end < limit;
      eventBytes += end - position;
      if (eventBytes > maxEventBytes) {
        return Optional.of("expected an event of at most " + maxEventBytes + " bytes");
      }
      if (whole && begun.size() == 0) {
        line(array, position, end);
      } else {
        begun.write(array, position, end - position);
      }
      if (whole && begun.size() > 0) {
        byte[] joined = begun.toByteArray();
        begun.reset();
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
    String endedId = id;
    byte[] endedData = data;
    id = "";
    data = null;
    eventBytes = 0;
    if (endedData != null) {
      listener.accept(endedId, endedData);
    }
  }
}
