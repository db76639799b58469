package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.log.LogEvent;

/** Rejects requests that are not relayed. */
final class RequestRejections {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_AFTER_NOT_READY = Duration.ofMillis(500);

  private final GatewayContext context;

  RequestRejections(GatewayContext context) {
    this.context = context;
  }

  /** Rejects a request that may outlast a planned stop; returns whether it did. */
  boolean rejectIfStopping(HttpServerExchange exchange, AdmittedRequest admitted) {
    StopAdmission stop = context.stopAdmission();
    Duration untilDeadline = admitted.untilDeadline(context.clock().nanoTime());
    if (stop.admits(untilDeadline)) {
      return false;
    }
    String detail =
        "%s: %d ms until its deadline, %d ms until the end of the stop"
            .formatted(
                admitted.head().attemptId(), untilDeadline.toMillis(), stop.untilEnd().toMillis());
    reject(exchange, GatewayFailure.STOPPING, detail);
    return true;
  }

  void reject(HttpServerExchange exchange, GatewayFailure failure, String detail) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-rejected")
            .with("reason", failure.label())
            .with("status", failure.status())
            .with("path", exchange.getRequestURI())
            .with("routing_revision", context.view().routingRevision())
            .with("detail", detail));
    context.counters().add(GatewayCounters.Kind.REFUSED);
    Optional<Duration> retryAfter =
        switch (failure) {
          case NOT_READY -> Optional.of(RETRY_AFTER_NOT_READY);
          case STOPPING -> Optional.of(StopAdmission.RETRY_AFTER);
          default -> Optional.empty();
        };
    failure.send(exchange, retryAfter);
  }
}
