package org.cuminrack.http;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import java.nio.charset.StandardCharsets;

/** An HTTP response with its complete body, which is empty for a streamed response. */
public record HttpResponse(int status, HeaderMap headers, ByteString body) {

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return body.toString(StandardCharsets.UTF_8);
  }
}
