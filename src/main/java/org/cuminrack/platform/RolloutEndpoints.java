package org.cuminrack.platform;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.control.RolloutControl;
import org.cuminrack.fleet.FleetControl;
import org.cuminrack.generated.rollout.StartVerdictData;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.rollout.RolloutStage;
import org.cuminrack.rollout.VersionRollout;

/** The operator's calls on roll-outs, in the platform's format; called on the leader only. */
final class RolloutEndpoints {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String START = "start";
  private static final String GET = "/get";

  private final RolloutControl rollouts;
  private final FleetControl fleet;
  private final NamedServices services;

  RolloutEndpoints(RolloutControl rollouts, FleetControl fleet, NamedServices services) {
    this.rollouts = rollouts;
    this.fleet = fleet;
    this.services = services;
  }

  /** Handles a call whose path, after that of all roll-outs, is given. */
  void handle(HttpServerExchange exchange, String path, byte[] body) {
    if (path.equals(START)) {
      start(exchange, body);
    } else if (path.endsWith(GET)) {
      sendState(exchange, path.substring(0, path.length() - GET.length()));
    } else {
      sendError(exchange, StatusCodes.NOT_FOUND, "expected start, or a service and get");
    }
  }

  private void start(HttpServerExchange exchange, byte[] body) {
    Either<String, RolloutOrder> order = RolloutOrder.decode(body);
    if (order.isLeft()) {
      refuse(exchange, order.getLeft());
    } else if (!services.include(order.get().service())) {
      refuse(exchange, "service: expected one of the routing, found " + order.get().service());
    } else {
      start(exchange, order.get());
    }
  }

  private void start(HttpServerExchange exchange, RolloutOrder order) {
    rollouts
        .start(order.service(), order.to(), fleet.versions(order.service()), order.duration())
        .whenComplete(
            (outcome, failure) ->
                exchange
                    .getIoThread()
                    .execute(() -> sendOutcome(exchange, order, outcome, failure)));
  }

  private static void sendOutcome(
      HttpServerExchange exchange,
      RolloutOrder order,
      Either<ProposalFailure, StartVerdictData> outcome,
      Throwable failure) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("rollout-ordered")
            .with("service", order.service())
            .with("to", order.to())
            .with("duration_ms", order.duration().toMillis())
            .with("outcome", failure == null ? outcome : failure));
    if (failure != null || outcome.isLeft()) {
      sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "the outcome is not known");
      return;
    }
    switch (outcome.get()) {
      case START_ACCEPTED, START_REPEATED -> HttpResponses.json(exchange, StatusCodes.OK, Map.of());
      case START_IN_PROGRESS ->
          sendError(
              exchange,
              StatusCodes.CONFLICT,
              "a roll-out of " + order.service() + " is in progress");
      default ->
          refuse(exchange, "to: expected another version than the one in use, " + order.to());
    }
  }

  private void sendState(HttpServerExchange exchange, String service) {
    rollouts
        .read(service)
        .whenComplete(
            (outcome, failure) ->
                exchange.getIoThread().execute(() -> sendState(exchange, outcome, failure)));
  }

  private static void sendState(
      HttpServerExchange exchange,
      Either<ProposalFailure, Optional<VersionRollout>> outcome,
      Throwable failure) {
    if (failure != null || outcome.isLeft()) {
      sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "the newest state is not known");
    } else if (outcome.get().isEmpty()) {
      sendError(exchange, StatusCodes.NOT_FOUND, "no roll-out of this service was ordered");
    } else {
      VersionRollout rollout = outcome.get().get();
      HttpResponses.json(
          exchange, StatusCodes.OK, new RolloutStatus(stateOf(rollout.stage()), rollout.to()));
    }
  }

  /** The body of an answer; its fields are sent in this order. */
  private record RolloutStatus(String state, String to) {}

  private static String stateOf(RolloutStage stage) {
    return switch (stage) {
      case DONE -> "done";
      case ROLLED_BACK -> "rolled_back";
      default -> "running";
    };
  }

  private static void refuse(HttpServerExchange exchange, String detail) {
    logger.atInfo().log("%s", LogEvent.named("rollout-refused").with("detail", detail));
    sendError(exchange, StatusCodes.BAD_REQUEST, detail);
  }

  private static void sendError(HttpServerExchange exchange, int status, String detail) {
    HttpResponses.json(exchange, status, Map.of("error", detail));
  }
}
