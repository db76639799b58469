package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.config.Organisation;
import org.cuminrack.http.ExecutionStatus;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.member.ClusterView;
import org.xnio.IoUtils;

/**
 * Authenticates requests, enforces the organisation's limit on concurrent requests, and reads the
 * body within limits of size and time.
 */
final class RequestFilter {
  private static final Duration LIMIT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration NO_STATE_RETRY_AFTER = Duration.ofSeconds(1);

  /** Delay before closing a connection whose body timed out, so that the response can be sent. */
  private static final long CLOSE_DELAY_MILLIS = 200;

  private final RelayContext context;
  private final OrganisationLimiter limiter = new OrganisationLimiter();

  RequestFilter(RelayContext context) {
    this.context = context;
  }

  /** Returns a handler that passes accepted requests to {@code next}, which ends the exchange. */
  HttpHandler wrap(Consumer<CallerRequest> next) {
    return exchange -> filter(exchange, next);
  }

  private void filter(HttpServerExchange exchange, Consumer<CallerRequest> next) {
    ClusterView view = context.membership().view();
    if (view.isEmpty()) {
      // An organisation that is missing here need not be unknown.
      refuse(
          exchange,
          context
              .problems()
              .refused(RefusalReason.NO_LEASE, NO_STATE_RETRY_AFTER, ExecutionStatus.NO));
      return;
    }
    Either<String, Organisation> identity =
        CallerIdentity.authenticate(exchange, view.configuration());
    if (identity.isLeft()) {
      refuse(exchange, context.problems().unauthorised(identity.getLeft()));
      return;
    }
    Organisation organisation = identity.get();
    int maxBodyBytes = context.bounds().maxBodyBytes();
    if (exchange.getRequestContentLength() > maxBodyBytes) {
      refuse(exchange, context.problems().bodyTooLarge(maxBodyBytes));
    } else if (!limiter.tryAcquire(organisation)) {
      refuse(
          exchange,
          context
              .problems()
              .refused(RefusalReason.ORGANISATION_LIMIT, LIMIT_RETRY_AFTER, ExecutionStatus.NO));
    } else {
      Runnable endInFlight = context.inFlight().begin(describe(exchange, organisation));
      exchange.addExchangeCompleteListener(
          (completed, chain) -> {
            limiter.release(organisation.name());
            endInFlight.run();
            chain.proceed();
          });
      readBody(exchange, organisation, next);
    }
  }

  private static String describe(HttpServerExchange exchange, Organisation organisation) {
    return exchange.getRequestMethod()
        + " "
        + exchange.getRequestPath()
        + " of "
        + organisation.name();
  }

  private void readBody(
      HttpServerExchange exchange, Organisation organisation, Consumer<CallerRequest> next) {
    IoContext io = IoContext.of(exchange, context.bounds());
    BodyReader.read(
        exchange,
        context.bounds().maxBodyBytes(),
        context.bounds().requestBodyTimeout(),
        io,
        new BodyReader.Listener() {
          @Override
          public void bodyComplete(ByteString body) {
            next.accept(new CallerRequest(exchange, organisation, body));
          }

          @Override
          public void bodyTooLarge() {
            exchange.setPersistent(false);
            refuse(exchange, context.problems().bodyTooLarge(context.bounds().maxBodyBytes()));
          }

          @Override
          public void bodyTimedOut() {
            exchange.setPersistent(false);
            refuse(exchange, context.problems().bodyTimedOut());
            io.after(CLOSE_DELAY_MILLIS, () -> IoUtils.safeClose(exchange.getConnection()));
          }

          @Override
          public void callerDisconnected() {
            context.counters().add(RelayCounters.CALLERS_GONE);
            CallerExchanges.drop(exchange);
          }
        });
  }

  private void refuse(HttpServerExchange exchange, ProblemDocument problem) {
    new CallerRequest(exchange, null, ByteString.EMPTY).refuse(context, problem);
  }
}
