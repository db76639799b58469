package org.cuminrack.process;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.metrics.Metrics;

/** The HTTP endpoints that every process serves: state dump, metrics and health. */
final class ProcessApi implements HttpHandler {
  private static final int OK = 200;

  private final StateDump dump;
  private final Metrics metrics;
  private final HttpHandler next;

  /** Creates a handler that passes requests for other paths to {@code next}. */
  ProcessApi(StateDump dump, Metrics metrics, HttpHandler next) {
    this.dump = dump;
    this.metrics = metrics;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    switch (exchange.getRequestPath()) {
      case "/dump" -> HttpResponses.json(exchange, OK, dump.gather());
      case "/metrics" -> HttpResponses.text(exchange, OK, metrics.scrape());
      case "/health" -> HttpResponses.text(exchange, OK, "serving\n");
      default -> next.handleRequest(exchange);
    }
  }
}
