package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import org.cuminrack.ledger.StoredResponse;

/** The complete response of a plain call. */
record PlainResponse(int status, HeaderMap headers, ByteString body) {

  static PlainResponse of(StoredResponse stored) {
    HeaderMap headers = new HeaderMap();
    if (!stored.contentType().isEmpty()) {
      headers.put(Headers.CONTENT_TYPE, stored.contentType());
    }
    return new PlainResponse(stored.httpStatus(), headers, stored.body());
  }

  /** Returns the part that the ledger stores and returns when the call is resent. */
  StoredResponse stored() {
    String contentType = headers.getFirst(Headers.CONTENT_TYPE);
    return new StoredResponse(status, contentType == null ? "" : contentType, body);
  }

  void send(HttpServerExchange exchange) {
    exchange.setStatusCode(status);
    HopByHopHeaders.copyEndToEnd(headers, exchange.getResponseHeaders());
    if (exchange.getRequestMethod().equals(Methods.HEAD)) {
      exchange.endExchange();
    } else {
      exchange.getResponseSender().send(body.asReadOnlyByteBuffer());
    }
  }
}
