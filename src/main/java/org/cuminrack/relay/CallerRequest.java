package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.time.Duration;
import org.cuminrack.config.Organisation;
import org.cuminrack.config.Route;
import org.cuminrack.config.Service;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.http.ExecutionStatus;
import org.cuminrack.http.ProblemDocument;

/**
 * A caller's request.
 *
 * @param exchange the caller's exchange
 * @param organisation the caller's organisation, or null if the request is rejected before its body
 *     is read
 * @param body the complete body, or empty if the request is rejected before its body is read
 */
record CallerRequest(HttpServerExchange exchange, Organisation organisation, ByteString body) {

  /** A route and its service. */
  record RoutedService(Route route, Service service) {}

  String header(HttpString name) {
    return exchange.getRequestHeaders().getFirst(name);
  }

  /**
   * Returns the route with this name and its service, or the problem if there is none for this kind
   * of service or the body is too large for the route.
   */
  Either<ProblemDocument, RoutedService> route(
      RelayContext context, String name, ServiceKind kind) {
    var configuration = context.membership().view().configuration();
    Route route = configuration.route(name).orElse(null);
    Service service = route == null ? null : configuration.service(route.service()).orElse(null);
    if (service == null || service.serviceKind() != kind) {
      return Either.left(
          context.problems().unknownRoute("expected the name of a route, found " + name));
    }
    if (body.size() > route.maxBodyBytes()) {
      return Either.left(context.problems().bodyTooLarge(route.maxBodyBytes()));
    }
    return Either.right(new RoutedService(route, service));
  }

  /** Returns the deadline for the start of the response, on the monotonic clock. */
  Either<ProblemDocument, Long> deadlineNanos(RelayContext context, Route route) {
    String text = header(RelayHeaders.TIMEOUT_MILLIS);
    long millis = route.timeoutMillis();
    if (text != null) {
      try {
        millis = Math.min(millis, Integer.parseInt(text));
      } catch (NumberFormatException e) {
        millis = 0;
      }
    }
    if (millis <= 0) {
      String detail = "X-Timeout-Millis: expected a whole number above 0, found " + text;
      return Either.left(context.problems().badRequest(detail));
    }
    return Either.right(context.clock().nanoTime() + Duration.ofMillis(millis).toNanos());
  }

  /**
   * Rejects the request. A request with an idempotency key may have run on an earlier attempt, so
   * the problem never states that it did not run.
   */
  void refuse(RelayContext context, ProblemDocument problem) {
    boolean mayHaveRun =
        header(RelayHeaders.IDEMPOTENCY_KEY) != null && problem.ran() == ExecutionStatus.NO;
    sendProblem(
        context, mayHaveRun ? problem.withExecutionStatus(ExecutionStatus.UNKNOWN) : problem);
  }

  /** Sends the problem unchanged and counts it. */
  void sendProblem(RelayContext context, ProblemDocument problem) {
    context.counters().add(RelayCounters.REFUSALS);
    problem.send(exchange);
  }
}
