package org.cuminrack.platform;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.control.RolloutControl;
import org.cuminrack.control.RoutingControl;
import org.cuminrack.fleet.FleetControl;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.generated.control.RoutingData;
import org.cuminrack.generated.control.RoutingVerdict;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.routing.RoutingTable;
import org.cuminrack.time.Clock;

/** HTTP endpoints of a control VM for upstreams and operators, in the platform's format. */
public final class ControlEndpoints implements HttpHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ROOT = "/cuminrack/";
  private static final String INSTANCES = ROOT + "instances/";
  private static final String EVACUATE = ROOT + "evacuate/";
  private static final String ROLLOUTS = ROOT + "rollouts/";
  private static final String CONFIG_REPLACE = ROOT + "config/replace";
  private static final String CONFIG_GET = ROOT + "config/get";

  private final RoutingControl routing;
  private final FleetControl fleet;
  private final RoutingDocuments documents = new RoutingDocuments();
  private final NamedServices services;
  private final RolloutEndpoints rollouts;
  private final int controlPort;
  private final Clock clock;

  /**
   * Creates a handler.
   *
   * @param controlPort the port that serves these endpoints, the same on all control VMs
   */
  public ControlEndpoints(
      RoutingControl routing,
      RolloutControl rollouts,
      FleetControl fleet,
      int controlPort,
      Clock clock) {
    this.routing = routing;
    this.services = new NamedServices(routing::applied);
    this.fleet = fleet;
    this.rollouts = new RolloutEndpoints(rollouts, fleet, services);
    this.controlPort = controlPort;
    this.clock = clock;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> handle(received, body)));
  }

  private void handle(HttpServerExchange exchange, byte[] body) {
    String path = exchange.getRequestPath();
    if (path.startsWith(INSTANCES)) {
      handleAnnouncement(exchange, path.substring(INSTANCES.length()).split("/", -1), body);
    } else if (path.equals(CONFIG_REPLACE)) {
      replaceDocument(exchange, body);
    } else if (path.equals(CONFIG_GET)) {
      sendCurrentDocument(exchange);
    } else if (path.startsWith(EVACUATE)) {
      evacuate(exchange, path.substring(EVACUATE.length()).split("/", -1));
    } else if (path.startsWith(ROLLOUTS)) {
      if (checkLeaderOrRedirect(exchange)) {
        rollouts.handle(exchange, path.substring(ROLLOUTS.length()), body);
      }
    } else {
      sendError(exchange, StatusCodes.NOT_FOUND, "no call " + path);
    }
  }

  private void handleAnnouncement(HttpServerExchange exchange, String[] idAndAction, byte[] body) {
    if (idAndAction.length != 2) {
      sendError(exchange, StatusCodes.NOT_FOUND, "expected an id and a call");
      return;
    }
    String id = idAndAction[0];
    switch (idAndAction[1]) {
      case "heartbeat" -> {
        Either<String, UpstreamRecord> report = Announcements.heartbeat(id, body, clock.nanoTime());
        if (report.isLeft()) {
          logInvalid("announcement-unreadable", id, report.getLeft());
          sendError(exchange, StatusCodes.BAD_REQUEST, report.getLeft());
        } else if (!isOfKnownService(report.get())) {
          String detail = "service: expected one of the routing, found " + report.get().service();
          logInvalid("announcement-refused", id, detail);
          sendError(exchange, StatusCodes.BAD_REQUEST, detail);
        } else {
          acknowledge(exchange, fleet.mergeAnnouncement(report.get()));
        }
      }
      case "leave" -> {
        Optional<UpstreamRecord> leaving =
            Announcements.leave(id, fleet.upstream(id), body, clock.nanoTime());
        if (leaving.isPresent()) {
          acknowledge(exchange, fleet.mergeAnnouncement(leaving.get()));
        } else {
          String detail = "expected the start of the upstream, which this VM does not know";
          logInvalid("announcement-refused", id, detail);
          sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, detail);
        }
      }
      default -> sendError(exchange, StatusCodes.NOT_FOUND, "no call " + idAndAction[1]);
    }
  }

  /**
   * Returns whether an announcement's service is named, or the upstream is known with it: its
   * service may have been removed while it is still about to leave.
   */
  private boolean isOfKnownService(UpstreamRecord announced) {
    return services.include(announced.service())
        || fleet
            .upstream(announced.id())
            .filter(known -> known.service().equals(announced.service()))
            .isPresent();
  }

  private void acknowledge(HttpServerExchange exchange, CompletableFuture<Boolean> stored) {
    stored.whenComplete(
        (isStored, failure) ->
            runOnIoThread(
                exchange,
                () -> {
                  if (failure == null && isStored) {
                    HttpResponses.json(exchange, StatusCodes.OK, Map.of());
                  } else {
                    sendError(
                        exchange, StatusCodes.SERVICE_UNAVAILABLE, "too few control VMs have it");
                  }
                }));
  }

  private void replaceDocument(HttpServerExchange exchange, byte[] body) {
    Either<String, RoutingTable> table = documents.decode(body);
    if (table.isLeft()) {
      logInvalid("routing-refused", "document", table.getLeft());
      sendError(exchange, StatusCodes.BAD_REQUEST, table.getLeft());
    } else if (checkLeaderOrRedirect(exchange)) {
      long version = table.get().version();
      routing
          .put(version, body)
          .whenComplete(
              (outcome, failure) ->
                  runOnIoThread(
                      exchange, () -> sendReplaceOutcome(exchange, version, outcome, failure)));
    }
  }

  private void sendReplaceOutcome(
      HttpServerExchange exchange,
      long version,
      Either<ProposalFailure, RoutingVerdict> outcome,
      Throwable failure) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("routing-put")
            .with("version", version)
            .with("outcome", failure == null ? outcome : failure));
    if (failure == null
        && outcome.isLeft()
        && outcome.getLeft() instanceof ProposalFailure.TooFewVoters tooFew) {
      sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not stored: " + tooFew.detail());
    } else if (failure != null || outcome.isLeft()) {
      sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "the outcome is not known");
    } else if (outcome.get() == RoutingVerdict.ROUTING_CONFLICT) {
      sendError(exchange, StatusCodes.CONFLICT, "other content has version " + version);
    } else {
      HttpResponses.json(exchange, StatusCodes.OK, Map.of("version", version));
    }
  }

  private void sendCurrentDocument(HttpServerExchange exchange) {
    if (checkLeaderOrRedirect(exchange)) {
      routing
          .read()
          .whenComplete(
              (outcome, failure) ->
                  runOnIoThread(exchange, () -> sendDocument(exchange, outcome, failure)));
    }
  }

  private void sendDocument(
      HttpServerExchange exchange,
      Either<ProposalFailure, RoutingData> outcome,
      Throwable failure) {
    if (failure != null || outcome.isLeft() || outcome.get().getDocument().isEmpty()) {
      Object reason = failure != null ? failure : outcome.map(RoutingData::getVersion);
      logger.atInfo().log("%s", LogEvent.named("routing-read-refused").with("outcome", reason));
      sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "the newest version is not known");
      return;
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(outcome.get().getDocument().toByteArray()));
  }

  private void evacuate(HttpServerExchange exchange, String[] dataCentreAndAction) {
    boolean isStart = dataCentreAndAction.length == 2 && dataCentreAndAction[1].equals("start");
    boolean isEnd = dataCentreAndAction.length == 2 && dataCentreAndAction[1].equals("end");
    if (!isStart && !isEnd) {
      sendError(exchange, StatusCodes.NOT_FOUND, "expected a zone and start or end");
    } else if (checkLeaderOrRedirect(exchange)) {
      routing
          .setEvacuated(dataCentreAndAction[0], isStart)
          .whenComplete(
              (outcome, failure) ->
                  runOnIoThread(
                      exchange,
                      () -> {
                        if (failure != null || outcome.isLeft()) {
                          sendError(
                              exchange,
                              StatusCodes.SERVICE_UNAVAILABLE,
                              "the outcome is not known");
                        } else {
                          logger.atInfo().log(
                              "%s",
                              LogEvent.named("evacuation-set")
                                  .with("data_centre", dataCentreAndAction[0])
                                  .with("evacuated", isStart));
                          HttpResponses.json(exchange, StatusCodes.OK, Map.of());
                        }
                      }));
    }
  }

  /**
   * Returns whether this VM is the leader. If it is not, answers with a redirect to the leader, or
   * with an error if there is none.
   */
  private boolean checkLeaderOrRedirect(HttpServerExchange exchange) {
    if (routing.isLeader()) {
      return true;
    }
    String leader = routing.leader();
    if (leader.isEmpty()) {
      logger.atInfo().log(
          "%s", LogEvent.named("no-leader").with("path", exchange.getRequestPath()));
      sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "no control VM leads");
      return false;
    }
    exchange
        .getResponseHeaders()
        .put(Headers.LOCATION, "http://" + leader + ":" + controlPort + exchange.getRequestPath());
    sendError(exchange, StatusCodes.TEMPORARY_REDIRECT, "another control VM leads");
    return false;
  }

  private static void runOnIoThread(HttpServerExchange exchange, Runnable task) {
    exchange.getIoThread().execute(task);
  }

  private static void logInvalid(String event, String id, String detail) {
    logger.atInfo().log("%s", LogEvent.named(event).with("id", id).with("detail", detail));
  }

  private static void sendError(HttpServerExchange exchange, int status, String detail) {
    HttpResponses.json(exchange, status, Map.of("error", detail));
  }
}
