package org.cuminrack.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.http.JsonBodyHandler;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.time.Clock;

/** The HTTP handlers of a stand-in engine. */
final class EngineHandlers {
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final HttpString GENERATION_ID = new HttpString("X-Generation-Id");
  private static final HttpString BOOT_ID = new HttpString("X-Boot-Id");
  private static final String RETRY_AFTER_SECONDS = "1";

  private final EngineOptions options;
  private final EngineLoop loop;
  private final CommandLog commands;
  private final BehaviourHolder behaviour;
  private final Clock clock;
  private final BooleanSupplier isLeaving;

  EngineHandlers(
      EngineOptions options,
      EngineLoop loop,
      CommandLog commands,
      BehaviourHolder behaviour,
      Clock clock,
      BooleanSupplier isLeaving) {
    this.options = options;
    this.loop = loop;
    this.commands = commands;
    this.behaviour = behaviour;
    this.clock = clock;
    this.isLeaving = isLeaving;
  }

  /** Returns the handler for all paths. */
  HttpHandler root() {
    RoutingHandler engine = new RoutingHandler();
    engine.post(
        "/v1/completions", JsonBodyHandler.reading(CompletionRequest.class, this::startGeneration));
    engine.get("/v1/generations/{id}/events", this::resume);
    engine.delete("/v1/generations/{id}", this::cancel);
    engine.post("/v1/orders", JsonBodyHandler.reading(EngineCommand.class, this::executeCommand));
    engine.get("/v1/status", this::sendStatus);
    RoutingHandler all = new RoutingHandler();
    all.post("/stand-in/behaviour", JsonBodyHandler.reading(Behaviour.class, this::setBehaviour));
    all.get("/stand-in/state", this::sendState);
    all.setFallbackHandler(new FaultInjectingHandler(behaviour, engine));
    return all;
  }

  private void startGeneration(HttpServerExchange exchange, CompletionRequest request) {
    Optional<String> error = request.validationError();
    if (error.isPresent()) {
      ProblemDocument.of(StatusCodes.BAD_REQUEST, "bad-request", error.get()).send(exchange);
      return;
    }
    String requestId =
        behaviour.current().crossed() ? "crossed-" + request.requestId() : request.requestId();
    exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    respond(
        exchange,
        loop.submit(request),
        submitted -> {
          if (submitted.isEmpty()) {
            refuse(exchange);
          } else {
            stream(exchange, submitted.get(), -1);
          }
        });
  }

  private void resume(HttpServerExchange exchange) {
    Optional<Integer> afterIndex = afterIndex(exchange);
    if (afterIndex.isEmpty()) {
      ProblemDocument.of(StatusCodes.BAD_REQUEST, "bad-request", "after: expected -1 or more")
          .send(exchange);
      return;
    }
    respond(
        exchange,
        loop.find(generationId(exchange)),
        found -> {
          if (found.isEmpty()) {
            HttpResponses.text(exchange, StatusCodes.NOT_FOUND, "unknown generation");
          } else if (found.get().isLost()) {
            HttpResponses.text(exchange, StatusCodes.GONE, "lost generation");
          } else {
            stream(exchange, found.get(), afterIndex.get());
          }
        });
  }

  private void stream(HttpServerExchange exchange, GenerationLog log, int afterIndex) {
    exchange.getResponseHeaders().put(GENERATION_ID, log.id());
    exchange.getResponseHeaders().put(BOOT_ID, options.bootId());
    EventWriter writer = new EventWriter(exchange, log, afterIndex, behaviour, clock);
    int lateMillis = behaviour.current().lateMillis();
    if (lateMillis == 0) {
      writer.start();
    } else {
      exchange.getIoThread().executeAfter(writer::start, lateMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void cancel(HttpServerExchange exchange) {
    respond(
        exchange,
        loop.cancel(generationId(exchange)),
        ignored -> {
          exchange.setStatusCode(StatusCodes.NO_CONTENT);
          exchange.endExchange();
        });
  }

  private void executeCommand(HttpServerExchange exchange, EngineCommand command) {
    OptionalLong highest = commands.execute(command);
    if (highest.isPresent()) {
      HttpResponses.json(exchange, StatusCodes.CONFLICT, Map.of("highest", highest.getAsLong()));
      return;
    }
    HttpResponses.json(exchange, StatusCodes.ACCEPTED, Map.of());
  }

  private void sendStatus(HttpServerExchange exchange) {
    respond(
        exchange,
        loop.load(),
        load ->
            HttpResponses.json(
                exchange,
                StatusCodes.OK,
                Map.of(
                    "upstream",
                    options.name(),
                    "boot_id",
                    options.bootId(),
                    "running",
                    load.running(),
                    "waiting",
                    load.waiting())));
  }

  private void setBehaviour(HttpServerExchange exchange, Behaviour next) {
    behaviour.set(next);
    HttpResponses.json(exchange, StatusCodes.OK, next);
    loop.applyOneTimeFaults(next);
  }

  private void sendState(HttpServerExchange exchange) {
    respond(
        exchange,
        loop.state(isLeaving.getAsBoolean(), commands.executed()),
        state -> HttpResponses.json(exchange, StatusCodes.OK, state));
  }

  private static void refuse(HttpServerExchange exchange) {
    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
    HttpResponses.text(exchange, StatusCodes.SERVICE_UNAVAILABLE, "no room");
  }

  /** Continues the exchange on its I/O thread once the future completes. */
  private static <T> void respond(
      HttpServerExchange exchange, CompletableFuture<T> future, Consumer<T> next) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE, () -> future.thenAcceptAsync(next, exchange.getIoThread()));
  }

  private static String generationId(HttpServerExchange exchange) {
    return exchange.getQueryParameters().get("id").getFirst();
  }

  private static Optional<Integer> afterIndex(HttpServerExchange exchange) {
    Deque<String> values = exchange.getQueryParameters().get("after");
    if (values == null) {
      return Optional.of(-1);
    }
    try {
      int afterIndex = Integer.parseInt(values.getFirst());
      return afterIndex < -1 ? Optional.empty() : Optional.of(afterIndex);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
