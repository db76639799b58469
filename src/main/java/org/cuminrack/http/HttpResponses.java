package org.cuminrack.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;

/** Sends complete responses. */
public final class HttpResponses {

  private HttpResponses() {}

  /** Answers with a value as JSON and ends the exchange. */
  public static void json(HttpServerExchange exchange, int status, Object value) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(Json.bytes(value)));
  }

  /** Answers with text and ends the exchange. */
  public static void text(HttpServerExchange exchange, int status, String text) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
    exchange.getResponseSender().send(text);
  }
}
