package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Checks the chunks of a response before the HTTP client decodes them, which takes a size that it
 * can't read for the end of the body, and passes over what stands between two chunks. Confined to
 * one I/O thread.
 */
final class ChunkCheck {
  /** Hexadecimal digits that fit into a long. */
  private static final int MAX_SIZE_DIGITS = 15;

  private static final int HEX = 16;

  private final ResponseLine line = new ResponseLine();
  private State state = State.SIZE;
  private long bytesLeft;

  private enum State {
    SIZE,
    DATA,
    END_OF_DATA,
    TRAILERS,
    CHECKED
  }

  /** Checks further bytes of the body; throws if they are no chunks. */
  void accept(ByteBuffer bytes) throws IOException {
    while (state != State.CHECKED && bytes.hasRemaining()) {
      if (state == State.DATA) {
        skipData(bytes);
      } else if (line.readFrom(bytes)) {
        endLine();
        line.clear();
      }
    }
  }

  private void skipData(ByteBuffer bytes) {
    int count = (int) Math.min(bytesLeft, bytes.remaining());
    bytes.position(bytes.position() + count);
    bytesLeft -= count;
    if (bytesLeft == 0) {
      state = State.END_OF_DATA;
    }
  }

  private void endLine() throws IOException {
    switch (state) {
      case SIZE -> {
        bytesLeft = size();
        state = bytesLeft == 0 ? State.TRAILERS : State.DATA;
      }
      case END_OF_DATA -> {
        // With a line feed alone, a size that is too large by one would not be noticed.
        if (!line.isEmpty() || line.endedByLineFeedAlone()) {
          throw line.expected("CR LF after the data of a chunk");
        }
        state = State.SIZE;
      }
      case TRAILERS -> {
        if (line.isEmpty()) {
          state = State.CHECKED;
        } else {
          line.checkField();
        }
      }
      case DATA, CHECKED -> throw new AssertionError("a line in state " + state);
    }
  }

  /** Returns the size of a chunk: hexadecimal digits, blanks, and extensions, which are ignored. */
  private long size() throws IOException {
    int digitsEnd = 0;
    long size = 0;
    while (digitsEnd < line.length() && isHexDigit(line.charAt(digitsEnd))) {
      size = size * HEX + Character.digit(line.charAt(digitsEnd), HEX);
      digitsEnd++;
    }
    int extensions = line.indexOf(';', digitsEnd);
    if (digitsEnd == 0
        || digitsEnd > MAX_SIZE_DIGITS
        || !line.substring(digitsEnd, extensions).isBlank()
        || !line.isText(digitsEnd)) {
      throw line.expected("the size of a chunk in hexadecimal digits");
    }
    return size;
  }

  /** Returns whether a character of Latin-1 is a digit, all of which are ASCII there. */
  private static boolean isHexDigit(char character) {
    return Character.digit(character, HEX) >= 0;
  }
}
