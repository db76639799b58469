package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Checks the status of a response before the HTTP client parses it: the client takes any number for
 * a status, so that 0200 would be a success, and any but 100 for that of a final response. Confined
 * to one I/O thread.
 */
final class StatusCheck {
  private static final int STATUS_DIGITS = 3;
  private static final String STATUS_CONTINUE = "100";
  private static final String FINAL_STATUS = "[2-5][0-9]{2}";

  private final StringBuilder status = new StringBuilder();
  private State state = State.IN_VERSION;

  private enum State {
    IN_VERSION,
    IN_STATUS,
    /** In the head of a response that another one follows. */
    IN_INTERIM_HEAD,
    /** Likewise, after the end of a line. */
    AFTER_INTERIM_LINE,
    CHECKED
  }

  /** Checks further bytes of the response; throws if they make its status invalid. */
  void accept(ByteBuffer bytes) throws IOException {
    while (state != State.CHECKED && bytes.hasRemaining()) {
      accept((char) (bytes.get() & 0xff));
    }
  }

  private void accept(char next) throws IOException {
    switch (state) {
      case IN_VERSION -> {
        if (next == ' ') {
          state = State.IN_STATUS;
        }
      }
      case IN_STATUS -> {
        if (next == ' ' || next == '\r' || next == '\n') {
          endStatus();
        } else {
          status.append(next);
          if (status.length() > STATUS_DIGITS) {
            throw invalid();
          }
        }
      }
      case IN_INTERIM_HEAD -> {
        if (next == '\n') {
          state = State.AFTER_INTERIM_LINE;
        }
      }
      case AFTER_INTERIM_LINE -> {
        if (next == '\n') {
          state = State.IN_VERSION;
        } else if (next != '\r') {
          state = State.IN_INTERIM_HEAD;
        }
      }
      case CHECKED -> throw new AssertionError("checked before");
    }
  }

  private void endStatus() throws IOException {
    String text = status.toString();
    if (text.equals(STATUS_CONTINUE)) {
      state = State.IN_INTERIM_HEAD;
      status.setLength(0);
    } else if (text.matches(FINAL_STATUS)) {
      state = State.CHECKED;
    } else {
      throw invalid();
    }
  }

  private IOException invalid() {
    return new IOException("expected a status from 200 to 599, found '" + status + "'");
  }
}
