package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * Checks the head of a response before the HTTP client parses it, which accepts far more than HTTP
 * allows: any number as the status, lines without a colon, names of fields with blanks and control
 * characters, and a transfer coding that it doesn't know as none, so that the body would not be the
 * upstream's. Confined to one I/O thread.
 *
 * <p>A folded line, a repeated length and a blank before a colon are rejected as well, though RFC
 * 9112 allows a gateway to mend them: they are more likely from an upstream in trouble than meant.
 */
final class ResponseHeadCheck {
  private static final String STATUS_CONTINUE = "100";
  private static final Pattern FINAL_STATUS = Pattern.compile("[2-5][0-9]{2}");
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

  private final ResponseLine line = new ResponseLine();
  private BodyFraming framing = new BodyFraming();
  private State state = State.STATUS_LINE;
  private boolean interim;

  private enum State {
    STATUS_LINE,
    FIELDS,
    CHECKED
  }

  /** Checks further bytes of the response; throws if they make its head invalid. */
  void accept(ByteBuffer bytes) throws IOException {
    while (state != State.CHECKED && line.readFrom(bytes)) {
      endLine();
      line.clear();
    }
  }

  /** Returns whether the head is complete, and a body in chunks follows. */
  boolean endsBeforeChunks() {
    return state == State.CHECKED && framing.isChunked();
  }

  private void endLine() throws IOException {
    if (state == State.STATUS_LINE) {
      checkStatusLine();
      state = State.FIELDS;
    } else if (!line.isEmpty()) {
      framing.accept(line, line.checkField());
    } else if (interim) {
      framing = new BodyFraming();
      state = State.STATUS_LINE;
    } else {
      state = State.CHECKED;
    }
  }

  private void checkStatusLine() throws IOException {
    int versionEnd = line.indexOf(' ', 0);
    if (versionEnd == line.length() || !VERSION.matcher(line.substring(0, versionEnd)).matches()) {
      throw line.expected("a status line of HTTP/1");
    }
    int statusEnd = line.indexOf(' ', versionEnd + 1);
    String status = line.substring(versionEnd + 1, statusEnd);
    interim = status.equals(STATUS_CONTINUE);
    if (!interim && !FINAL_STATUS.matcher(status).matches()) {
      throw line.expected("a status from 200 to 599", versionEnd + 1, statusEnd);
    }
    if (!line.isText(statusEnd)) {
      throw line.expected("a reason phrase without control characters");
    }
  }
}
