package org.cuminrack.control;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminrack.generated.control.ChangeRequest;
import org.cuminrack.generated.control.ChangeVerdict;
import org.cuminrack.generated.control.FetchReply;
import org.cuminrack.generated.control.FetchRequest;
import org.cuminrack.generated.control.InForceReply;
import org.cuminrack.generated.control.InForceRequest;
import org.cuminrack.generated.rollout.HaltRollout;
import org.cuminrack.http.Json;
import org.cuminrack.http.JsonBodyHandler;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.member.ControlCalls;
import org.cuminrack.member.ControlFailure;
import org.cuminrack.wire.Method;

/**
 * The operators' HTTP API of a control VM (docs/PROTOCOL.md); requests are forwarded to the leader.
 */
public final class OperatorApi {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(1);

  private final ControlCalls calls;
  private final DiskStates disks;

  public OperatorApi(ControlCalls calls, DiskStates disks) {
    this.calls = calls;
    this.disks = disks;
  }

  /** Returns the handler of the operators' paths under {@code /v1}. */
  public RoutingHandler handler() {
    return Handlers.routing()
        .post("/v1/changes", JsonBodyHandler.reading(ChangeBody.class, this::change))
        .post("/v1/rollouts/{service}/halt", this::haltRollout)
        .get("/v1/configuration", this::configuration)
        .get("/v1/in-force", this::inForce)
        .get("/v1/status", this::status);
  }

  private void change(HttpServerExchange exchange, ChangeBody body) {
    Either<String, ChangeRequest> request = body.toRequest();
    if (request.isLeft()) {
      respond(exchange, BAD_REQUEST, OperatorResponses.invalid(request.getLeft()));
      return;
    }
    respondAfter(
        exchange,
        calls.call(Method.CHANGE, request.get().toByteArray(), TIMEOUT),
        ChangeVerdict.parser(),
        verdict -> respondWithVerdict(exchange, verdict));
  }

  private void haltRollout(HttpServerExchange exchange) {
    String service = exchange.getQueryParameters().get("service").getFirst();
    HaltRollout halt = HaltRollout.newBuilder().setService(service).build();
    respondAfter(
        exchange,
        calls.call(Method.HALT_ROLLOUT, halt.toByteArray(), TIMEOUT),
        HaltRollout.parser(),
        reply -> respond(exchange, OK, Map.of("halted", service)));
  }

  private static void respondWithVerdict(HttpServerExchange exchange, ChangeVerdict verdict) {
    int status =
        switch (verdict.getVerdict()) {
          case ACCEPTED -> OK;
          case CONFLICT -> 409;
          default -> BAD_REQUEST;
        };
    respond(exchange, status, OperatorResponses.of(verdict));
  }

  private void configuration(HttpServerExchange exchange) {
    FetchRequest request = FetchRequest.newBuilder().setLinearizable(true).build();
    respondAfter(
        exchange,
        calls.call(Method.FETCH_STATE, request.toByteArray(), TIMEOUT),
        FetchReply.parser(),
        reply -> respond(exchange, OK, OperatorResponses.configuration(reply)));
  }

  private void inForce(HttpServerExchange exchange) {
    Either<String, Long> revision = queryNumber(exchange, "revision");
    Either<String, Long> waitMillis = queryNumber(exchange, "wait_millis");
    if (revision.isLeft() || waitMillis.isLeft()) {
      String error = revision.isLeft() ? revision.getLeft() : waitMillis.getLeft();
      ProblemDocument.of(BAD_REQUEST, "bad-request", error).send(exchange);
      return;
    }
    long wait = Math.min(waitMillis.get(), SessionHandlers.MAX_WAIT.toMillis());
    sendInForce(
        exchange, revision.get(), wait, reply -> OperatorResponses.inForce(revision.get(), reply));
  }

  /** Responds with the leader's view and the disks; without a leader, with the disks alone. */
  private void status(HttpServerExchange exchange) {
    byte[] request = InForceRequest.getDefaultInstance().toByteArray();
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            calls
                .call(Method.IN_FORCE, request, TIMEOUT, ATTEMPT_TIMEOUT)
                .thenCombine(disks.gather(), StatusParts::new)
                .whenComplete((parts, failure) -> respondWithStatus(exchange, parts, failure)));
  }

  private record StatusParts(Either<ControlFailure, byte[]> leader, Map<String, Object> disks) {}

  private static void respondWithStatus(
      HttpServerExchange exchange, StatusParts parts, Throwable failure) {
    if (failure != null) {
      respondWithFailure(exchange, new ControlFailure.Unknown(failure.toString()));
    } else if (parts.leader().isLeft()) {
      Map<String, Object> body = OperatorResponses.unanswered(parts.leader().getLeft());
      body.put("disks", parts.disks());
      respond(exchange, UNAVAILABLE, body);
    } else {
      handleReply(
          exchange,
          InForceReply.parser(),
          parts.leader().get(),
          reply -> {
            Map<String, Object> body = OperatorResponses.status(reply);
            body.put("disks", parts.disks());
            respond(exchange, OK, body);
          });
    }
  }

  private void sendInForce(
      HttpServerExchange exchange,
      long revision,
      long waitMillis,
      Function<InForceReply, Object> toResponse) {
    InForceRequest request =
        InForceRequest.newBuilder().setRevision(revision).setWaitMillis((int) waitMillis).build();
    Duration timeout = TIMEOUT.plusMillis(waitMillis);
    Duration attemptTimeout = ATTEMPT_TIMEOUT.plusMillis(waitMillis);
    respondAfter(
        exchange,
        calls.call(Method.IN_FORCE, request.toByteArray(), timeout, attemptTimeout),
        InForceReply.parser(),
        reply -> respond(exchange, OK, toResponse.apply(reply)));
  }

  private static <T> void respondAfter(
      HttpServerExchange exchange,
      CompletableFuture<Either<ControlFailure, byte[]>> call,
      Parser<T> parser,
      Consumer<T> onReply) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            call.whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    respondWithFailure(exchange, new ControlFailure.Unknown(failure.toString()));
                  } else if (outcome.isLeft()) {
                    respondWithFailure(exchange, outcome.getLeft());
                  } else {
                    handleReply(exchange, parser, outcome.get(), onReply);
                  }
                }));
  }

  private static <T> void handleReply(
      HttpServerExchange exchange, Parser<T> parser, byte[] body, Consumer<T> onReply) {
    T reply;
    try {
      reply = parser.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      respondWithFailure(exchange, new ControlFailure.Unknown("unreadable answer"));
      return;
    }
    onReply.accept(reply);
  }

  private static void respondWithFailure(HttpServerExchange exchange, ControlFailure failure) {
    if (failure instanceof ControlFailure.Refused) {
      respond(exchange, BAD_REQUEST, OperatorResponses.invalid(failure.detail()));
      return;
    }
    respond(exchange, UNAVAILABLE, OperatorResponses.unanswered(failure));
  }

  private static void respond(HttpServerExchange exchange, int status, Object body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(Json.bytes(body)));
  }

  private static Either<String, Long> queryNumber(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    String text = values == null ? "0" : values.getFirst();
    try {
      return Either.right(Math.max(0, Long.parseLong(text)));
    } catch (NumberFormatException e) {
      return Either.left(name + ": expected a number, found '" + text + "'");
    }
  }
}
