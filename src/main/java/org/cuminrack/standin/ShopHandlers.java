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
import org.cuminrack.http.HttpAnswers;
import org.cuminrack.http.JsonBodyHandler;
import org.xnio.IoUtils;

/** What a stand-in shop answers: every path is a call, GET a look-up, the rest is executed. */
final class ShopHandlers {
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

  private final ShopOptions options;
  private final ShopLedger ledger;
  private final BehaviourHolder behaviour;
  private final Runnable crash;
  private final AtomicInteger running = new AtomicInteger();

  ShopHandlers(ShopOptions options, ShopLedger ledger, BehaviourHolder behaviour, Runnable crash) {
    this.options = options;
    this.ledger = ledger;
    this.behaviour = behaviour;
    this.crash = crash;
  }

  /** Returns the handler of every path. */
  HttpHandler root() {
    RoutingHandler all = new RoutingHandler();
    all.post("/stand-in/behaviour", JsonBodyHandler.reading(Behaviour.class, this::behave));
    all.get("/stand-in/executions", this::executions);
    all.get("/stand-in/state", this::executions);
    HttpHandler calls = new MisbehavingHandler(behaviour, this::call);
    all.setFallbackHandler(calls);
    all.setInvalidMethodHandler(calls);
    return all;
  }

  int running() {
    return running.get();
  }

  private void call(HttpServerExchange exchange) {
    exchange.getRequestReceiver().receiveFullBytes((ready, body) -> serve(ready));
  }

  private void serve(HttpServerExchange exchange) {
    running.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          running.decrementAndGet();
          next.proceed();
        });
    Behaviour now = behaviour.now();
    long millis = Math.round(options.serviceMillis() * now.slowdown()) + now.lateMillis();
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getIoThread()
                .executeAfter(() -> run(exchange), millis, TimeUnit.MILLISECONDS));
  }

  private void run(HttpServerExchange exchange) {
    ShopReceipt receipt = receipt(exchange);
    Behaviour now = behaviour.now();
    if (now.silent()) {
      return;
    }
    if (now.dropAnswers()) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
    if (requestId != null) {
      String answered = now.crossed() ? "crossed-" + requestId : requestId;
      exchange.getResponseHeaders().put(REQUEST_ID, answered);
    }
    HttpAnswers.json(exchange, StatusCodes.OK, receipt);
  }

  private ShopReceipt receipt(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (exchange.getRequestMethod().equals(Methods.GET)) {
      ledger.lookUp();
      return new ShopReceipt(options.name(), path, "", 0);
    }
    String header = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
    String key = header == null ? "" : header;
    return new ShopReceipt(options.name(), path, key, ledger.execute(key));
  }

  private void executions(HttpServerExchange exchange) {
    HttpAnswers.json(exchange, StatusCodes.OK, ledger.executions(options.name()));
  }

  private void behave(HttpServerExchange exchange, Behaviour next) {
    behaviour.set(next);
    HttpAnswers.json(exchange, StatusCodes.OK, next);
    if (next.crash()) {
      crash.run();
    }
  }
}
