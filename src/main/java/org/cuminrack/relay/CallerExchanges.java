package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import org.cuminrack.log.LogEvent;
import org.xnio.IoUtils;
import org.xnio.Options;

/** Static helpers for exchanges with callers. */
public final class CallerExchanges {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private CallerExchanges() {}

  /**
   * Closes the caller's connection and ends the exchange, discarding unsent data. The caller can
   * tell that a response that has begun is incomplete.
   */
  public static void drop(HttpServerExchange exchange) {
    if (exchange.isHttp10() && exchange.isResponseStarted()) {
      resetOnClose(exchange.getConnection());
    }
    IoUtils.safeClose(exchange.getConnection());
    exchange.endExchange();
  }

  /** Without chunks, the end of a connection that is not reset looks like that of the response. */
  private static void resetOnClose(ServerConnection connection) {
    try {
      connection.setOption(Options.CLOSE_ABORT, true);
    } catch (IOException e) {
      logger.atWarning().log("%s", LogEvent.named("reset-failed").with("detail", e.getMessage()));
    }
  }
}
