package org.cuminrack.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.cuminrack.http.HttpAnswers;

/** Swallows or refuses requests as the behaviour in force says; else lets them through. */
final class MisbehavingHandler implements HttpHandler {
  private static final String RETRY_SECONDS = "1";

  private final BehaviourHolder behaviour;
  private final HttpHandler next;

  MisbehavingHandler(BehaviourHolder behaviour, HttpHandler next) {
    this.behaviour = behaviour;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    Behaviour now = behaviour.now();
    if (now.hang()) {
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
      return;
    }
    if (now.refuse() && exchange.getRequestMethod().equals(Methods.POST)) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_SECONDS);
      HttpAnswers.text(exchange, StatusCodes.SERVICE_UNAVAILABLE, "no room");
      return;
    }
    next.handleRequest(exchange);
  }
}
