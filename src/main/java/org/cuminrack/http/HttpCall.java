package org.cuminrack.http;

import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;

/**
 * A request to send, with its complete body.
 *
 * @param address host and port
 * @param path path and query
 * @param timeout how long to wait for the complete response
 */
public record HttpCall(
    String address,
    HttpString method,
    String path,
    HeaderMap headers,
    ByteString body,
    Duration timeout) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

  /** Creates a call without a body. */
  public static HttpCall of(HttpString method, String address, String path) {
    return new HttpCall(address, method, path, new HeaderMap(), ByteString.EMPTY, DEFAULT_TIMEOUT);
  }

  /** Returns a copy with a JSON body; also sets Content-Type in this call's headers. */
  public HttpCall withJson(Object value) {
    headers.put(Headers.CONTENT_TYPE, "application/json");
    return withBody(ByteString.copyFrom(Json.bytes(value)));
  }

  public HttpCall withBody(ByteString value) {
    return new HttpCall(address, method, path, headers, value, timeout);
  }

  /** Sets a header of this call and returns this call. */
  public HttpCall withHeader(String name, String value) {
    headers.put(HttpString.tryFromString(name), value);
    return this;
  }

  public HttpCall withTimeout(Duration value) {
    return new HttpCall(address, method, path, headers, body, value);
  }
}
