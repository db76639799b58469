package org.cuminrack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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
  private final LineBuffer line = new LineBuffer();
  private String id = "";
  private byte[] data;
  private int eventBytes;

  EventStreamParser(int maxEventBytes, BiConsumer<String, byte[]> listener) {
    this.maxEventBytes = maxEventBytes;
    this.listener = listener;
  }

  /** Takes bytes in; returns what is wrong with them, if anything is. */
  Optional<String> feed(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      eventBytes++;
      if (eventBytes > maxEventBytes) {
        return Optional.of("expected an event of at most " + maxEventBytes + " bytes");
      }
      if (next == '\n') {
        endOfLine();
      } else {
        line.write(next);
      }
    }
    return Optional.empty();
  }

  private void endOfLine() {
    int length = line.lengthWithoutCarriageReturn();
    if (length == 0) {
      endOfEvent();
    } else if (line.startsWith(DATA)) {
      data = line.valueAfter(DATA.length, length);
    } else if (line.startsWith(ID)) {
      id = new String(line.valueAfter(ID.length, length), StandardCharsets.UTF_8);
    }
    line.reset();
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

  /** The bytes of the line that is not yet whole. */
  private static final class LineBuffer extends ByteArrayOutputStream {

    int lengthWithoutCarriageReturn() {
      return count > 0 && buf[count - 1] == '\r' ? count - 1 : count;
    }

    boolean startsWith(byte[] field) {
      return count >= field.length
          && java.util.Arrays.equals(buf, 0, field.length, field, 0, field.length);
    }

    byte[] valueAfter(int offset, int length) {
      int start = offset < length && buf[offset] == ' ' ? offset + 1 : offset;
      return java.util.Arrays.copyOfRange(buf, start, length);
    }
  }
}
