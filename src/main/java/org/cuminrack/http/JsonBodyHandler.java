package org.cuminrack.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.util.function.BiConsumer;

/** Reads a request's JSON body without blocking; rejects a malformed body with status 400. */
public final class JsonBodyHandler<T> implements HttpHandler {
  private static final int BAD_REQUEST = 400;

  private final Class<T> type;
  private final BiConsumer<HttpServerExchange, T> next;

  private JsonBodyHandler(Class<T> type, BiConsumer<HttpServerExchange, T> next) {
    this.type = type;
    this.next = next;
  }

  /** Returns a handler that reads a body of this type; {@code next} completes the exchange. */
  public static <T> JsonBodyHandler<T> reading(
      Class<T> type, BiConsumer<HttpServerExchange, T> next) {
    return new JsonBodyHandler<>(type, next);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange.getRequestReceiver().receiveFullBytes(this::received);
  }

  private void received(HttpServerExchange exchange, byte[] body) {
    Either<String, T> value = Json.read(body, type);
    if (value.isLeft()) {
      ProblemDocument.of(BAD_REQUEST, "bad-request", value.getLeft()).send(exchange);
      return;
    }
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> next.accept(exchange, value.get()));
  }
}
