package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import org.cuminrack.http.SocketReset;
import org.xnio.IoUtils;

/** Static helpers for exchanges with callers. */
public final class CallerExchanges {
  private CallerExchanges() {}

  /**
   * Closes the caller's connection and ends the exchange, discarding unsent data. The caller can
   * tell that a response that has begun is incomplete.
   */
  public static void drop(HttpServerExchange exchange) {
    if (exchange.isHttp10() && exchange.isResponseStarted()) {
      // Without chunks, the end of a connection that is not reset looks like that of the response.
      SocketReset.onClose(exchange.getConnection());
    }
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }
}
