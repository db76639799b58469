package org.cuminrack.relay;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.config.Organisation;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.http.Ran;
import org.xnio.IoUtils;

/**
 * Lets requests in: checks whose they are, counts them against the organisation's limit, and reads
 * the body within bounds of size and time.
 */
final class RequestGate {
  private static final Duration SLOT_RETRY_AFTER = Duration.ofSeconds(1);

  /** How long a refused slow sender's connection stays open, for the answer to leave. */
  private static final long LINGER_MILLIS = 200;

  private final RelayContext context;
  private final OrganisationSlots slots = new OrganisationSlots();

  RequestGate(RelayContext context) {
    this.context = context;
  }

  /** Returns a handler that passes on what is let in; {@code next} ends the exchange. */
  HttpHandler then(Consumer<CallerRequest> next) {
    return exchange -> admit(exchange, next);
  }

  private void admit(HttpServerExchange exchange, Consumer<CallerRequest> next) {
    Either<String, Organisation> identity =
        CallerIdentity.of(exchange, context.membership().view().configuration());
    if (identity.isLeft()) {
      refuse(exchange, context.refusals().unauthorised(identity.getLeft()));
      return;
    }
    Organisation organisation = identity.get();
    int maxBodyBytes = context.bounds().maxBodyBytes();
    if (exchange.getRequestContentLength() > maxBodyBytes) {
      refuse(exchange, context.refusals().bodyTooLarge(maxBodyBytes));
    } else if (!slots.take(organisation)) {
      refuse(
          exchange,
          context.refusals().refused(RefusalReason.ORGANISATION_LIMIT, SLOT_RETRY_AFTER, Ran.NO));
    } else {
      Runnable end = context.inFlight().begin(describe(exchange, organisation));
      exchange.addExchangeCompleteListener(
          (completed, chain) -> {
            slots.give(organisation.name());
            end.run();
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
        context.bounds().slowSender(),
        io,
        new BodyReader.Listener() {
          @Override
          public void whole(ByteString body) {
            next.accept(new CallerRequest(exchange, organisation, body));
          }

          @Override
          public void tooLarge() {
            exchange.setPersistent(false);
            refuse(exchange, context.refusals().bodyTooLarge(context.bounds().maxBodyBytes()));
          }

          @Override
          public void tooSlow() {
            exchange.setPersistent(false);
            refuse(exchange, context.refusals().slowSender());
            io.after(LINGER_MILLIS, () -> IoUtils.safeClose(exchange.getConnection()));
          }

          @Override
          public void gone() {
            exchange.setPersistent(false);
            context.counters().add(RelayCounters.CALLERS_GONE);
            exchange.endExchange();
          }
        });
  }

  private void refuse(HttpServerExchange exchange, ProblemDocument problem) {
    new CallerRequest(exchange, null, ByteString.EMPTY).refuse(context, problem);
  }
}
