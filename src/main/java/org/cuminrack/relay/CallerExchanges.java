package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/** Static helpers for exchanges with callers. */
public final class CallerExchanges {

  private CallerExchanges() {}

  /** Closes the caller's connection and ends the exchange, discarding unsent data. */
  public static void drop(HttpServerExchange exchange) {
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }
}
