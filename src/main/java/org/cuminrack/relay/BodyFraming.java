package org.cuminrack.relay;

import java.io.IOException;
import java.util.regex.Pattern;

/**
 * Checks the fields of a response's head that state where its body ends. At most one of them is
 * accepted, since two may contradict each other.
 */
final class BodyFraming {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";

  /** The only transfer coding that the HTTP client decodes. */
  private static final String CHUNKED = "chunked";

  /** Digits that fit into a long. */
  private static final Pattern LENGTH_BYTES = Pattern.compile("[0-9]{1,18}");

  private boolean stated;
  private boolean chunked;

  /** Checks a field if it states where the body ends; {@code nameEnd} is the place of its colon. */
  void accept(ResponseLine field, int nameEnd) throws IOException {
    if (isNamed(CONTENT_LENGTH, field, nameEnd)) {
      accept(field, LENGTH_BYTES.matcher(value(field, nameEnd)).matches());
    } else if (isNamed(TRANSFER_ENCODING, field, nameEnd)) {
      accept(field, value(field, nameEnd).equalsIgnoreCase(CHUNKED));
      chunked = true;
    }
  }

  /** Returns whether the body comes in chunks. */
  boolean isChunked() {
    return chunked;
  }

  private void accept(ResponseLine field, boolean valid) throws IOException {
    if (!valid || stated) {
      throw field.expected("one length in digits, or the coding chunked");
    }
    stated = true;
  }

  private static String value(ResponseLine field, int nameEnd) {
    return field.substring(nameEnd + 1, field.length()).strip();
  }

  private static boolean isNamed(String name, ResponseLine field, int nameEnd) {
    return nameEnd == name.length() && field.substring(0, nameEnd).equalsIgnoreCase(name);
  }
}
