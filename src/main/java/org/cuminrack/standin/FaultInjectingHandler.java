package org.cuminrack.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.cuminrack.http.HttpResponses;

/**
 * Leaves requests unanswered or refuses POST requests if the current behaviour says so; otherwise
 * passes them to the next handler.
 */
final class FaultInjectingHandler implements HttpHandler {
  private static final String RETRY_AFTER_SECONDS = "1";

  private final BehaviourHolder behaviour;
  private final HttpHandler next;

  FaultInjectingHandler(BehaviourHolder behaviour, HttpHandler next) {
    this.behaviour = behaviour;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    Behaviour current = behaviour.current();
    if (current.hang()) {
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
      return;
    }
    if (current.refuse() && exchange.getRequestMethod().equals(Methods.POST)) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
      HttpResponses.text(exchange, StatusCodes.SERVICE_UNAVAILABLE, "no room");
      return;
    }
    next.handleRequest(exchange);
  }
}
