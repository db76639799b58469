package org.cuminrack.http;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import java.nio.charset.StandardCharsets;

/** A whole answer. */
public record HttpAnswer(int status, HeaderMap headers, ByteString body) {

  /** Returns the body as text in UTF-8. */
  public String text() {
    return body.toString(StandardCharsets.UTF_8);
  }
}
