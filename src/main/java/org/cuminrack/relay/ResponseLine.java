package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A line of a response's head or between its chunks, as far as it was received, and what HTTP
 * allows in it (RFC 9110, section 5). Confined to one I/O thread.
 */
final class ResponseLine {
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final int DELETE = 0x7f;
  private static final int MAX_QUOTED_LENGTH = 80;
  private static final boolean[] IS_TOKEN = new boolean[DELETE];

  static {
    for (char character = 0; character < DELETE; character++) {
      IS_TOKEN[character] =
          Character.isLetterOrDigit(character) || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }
  }

  private final StringBuilder text = new StringBuilder();
  private boolean endedByLineFeedAlone;

  /**
   * Reads on to the end of the line and returns whether it was reached. A carriage return that no
   * line feed follows is rejected at once, as the HTTP client may take it for the end of a line.
   */
  boolean readFrom(ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      char next = (char) (bytes.get() & 0xff);
      boolean afterReturn = !isEmpty() && text.charAt(length() - 1) == '\r';
      if (next == '\n') {
        text.setLength(afterReturn ? length() - 1 : length());
        endedByLineFeedAlone = !afterReturn;
        return true;
      }
      text.append(next);
      if (afterReturn) {
        throw expected("a line feed after a carriage return");
      }
    }
    return false;
  }

  /** Empties the line, to read the next one. */
  void clear() {
    text.setLength(0);
  }

  boolean isEmpty() {
    return text.isEmpty();
  }

  boolean endedByLineFeedAlone() {
    return endedByLineFeedAlone;
  }

  int length() {
    return text.length();
  }

  char charAt(int place) {
    return text.charAt(place);
  }

  /** Returns the place of a character from {@code start} on, or the end if there is none. */
  int indexOf(char character, int start) {
    int place = start;
    while (place < length() && text.charAt(place) != character) {
      place++;
    }
    return place;
  }

  String substring(int start, int end) {
    return text.substring(start, end);
  }

  /** Returns the place of the colon if this is a field; throws if it is none. */
  int checkField() throws IOException {
    int nameEnd = indexOf(':', 0);
    if (nameEnd == 0 || nameEnd == length() || !isToken(nameEnd) || !isText(nameEnd)) {
      throw expected("a field, 'name: value'");
    }
    return nameEnd;
  }

  /** Returns whether all characters before {@code end} are allowed in the name of a field. */
  private boolean isToken(int end) {
    for (int i = 0; i < end; i++) {
      char character = text.charAt(i);
      if (character >= DELETE || !IS_TOKEN[character]) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether none of the characters from {@code start} on is a control character. */
  boolean isText(int start) {
    for (int i = start; i < length(); i++) {
      if (isControl(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isControl(char character) {
    return (character < ' ' && character != '\t') || character == DELETE;
  }

  /** Returns the error for a line that is invalid. */
  IOException expected(String what) {
    return expected(what, 0, length());
  }

  /** Returns the error for a part of a line that is invalid, with control characters escaped. */
  IOException expected(String what, int start, int end) {
    StringBuilder found = new StringBuilder();
    for (int i = start; i < Math.min(end, start + MAX_QUOTED_LENGTH); i++) {
      char character = text.charAt(i);
      found.append(isControl(character) ? "\\x%02x".formatted((int) character) : character);
    }
    return new IOException("expected " + what + ", found '" + found + "'");
  }
}
