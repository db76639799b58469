package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/** How the end of an HTTP response is marked. */
public final class ResponseFraming {
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /**
   * Returns whether the end of a response can be distinguished from a lost connection. A response
   * that is delimited only by the end of its connection may have been truncated.
   */
  public static boolean hasDetectableEnd(HttpString method, int status, HeaderMap headers) {
    return method.equals(Methods.HEAD)
        || status == STATUS_NO_CONTENT
        || status == STATUS_NOT_MODIFIED
        || headers.contains(Headers.CONTENT_LENGTH)
        || headers.contains(Headers.TRANSFER_ENCODING);
  }
}
