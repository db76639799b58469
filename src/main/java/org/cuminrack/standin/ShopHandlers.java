package org.cuminrack.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.http.JsonBodyHandler;
import org.xnio.IoUtils;

/**
 * The HTTP handlers of a stand-in shop. On any path, a GET request is a look-up and a request with
 * another method is an execution.
 */
final class ShopHandlers {
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

  private final ShopOptions options;
  private final ExecutionCounter executionCounter;
  private final BehaviourHolder behaviour;
  private final Runnable crash;
  private final AtomicInteger running = new AtomicInteger();

  ShopHandlers(
      ShopOptions options,
      ExecutionCounter executionCounter,
      BehaviourHolder behaviour,
      Runnable crash) {
    this.options = options;
    this.executionCounter = executionCounter;
    this.behaviour = behaviour;
    this.crash = crash;
  }

  /** Returns the handler for all paths. */
  HttpHandler root() {
    RoutingHandler all = new RoutingHandler();
    all.post("/stand-in/behaviour", JsonBodyHandler.reading(Behaviour.class, this::setBehaviour));
    all.get("/stand-in/executions", this::sendExecutions);
    all.get("/stand-in/state", this::sendExecutions);
    HttpHandler calls = new FaultInjectingHandler(behaviour, this::receive);
    all.setFallbackHandler(calls);
    all.setInvalidMethodHandler(calls);
    return all;
  }

  int running() {
    return running.get();
  }

  private void receive(HttpServerExchange exchange) {
    exchange.getRequestReceiver().receiveFullBytes((ready, body) -> runAfterDelay(ready));
  }

  private void runAfterDelay(HttpServerExchange exchange) {
    running.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          running.decrementAndGet();
          next.proceed();
        });
    Behaviour current = behaviour.current();
    long millis = Math.round(options.serviceMillis() * current.slowdown()) + current.lateMillis();
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getIoThread()
                .executeAfter(() -> run(exchange), millis, TimeUnit.MILLISECONDS));
  }

  private void run(HttpServerExchange exchange) {
    ShopReceipt receipt = execute(exchange);
    Behaviour current = behaviour.current();
    if (current.silent()) {
      return;
    }
    if (current.dropAnswers()) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
    if (requestId != null) {
      String echoedId = current.crossed() ? "crossed-" + requestId : requestId;
      exchange.getResponseHeaders().put(REQUEST_ID, echoedId);
    }
    HttpResponses.json(exchange, StatusCodes.OK, receipt);
  }

  private ShopReceipt execute(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (exchange.getRequestMethod().equals(Methods.GET)) {
      executionCounter.countLookup();
      return new ShopReceipt(options.name(), path, "", 0);
    }
    String header = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
    String key = header == null ? "" : header;
    return new ShopReceipt(options.name(), path, key, executionCounter.countExecution(key));
  }

  private void sendExecutions(HttpServerExchange exchange) {
    HttpResponses.json(exchange, StatusCodes.OK, executionCounter.executions(options.name()));
  }

  private void setBehaviour(HttpServerExchange exchange, Behaviour next) {
    behaviour.set(next);
    HttpResponses.json(exchange, StatusCodes.OK, next);
    if (next.crash()) {
      crash.run();
    }
  }
}
