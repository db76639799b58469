package org.cuminrack.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.config.ServiceKind;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.ledger.CallKey;

/** Handles plain calls: idempotent calls, and calls that may run at most once. */
final class CallsHandler {
  private static final int MAX_KEY_LENGTH = 256;

  private final RelayContext context;

  CallsHandler(RelayContext context) {
    this.context = context;
  }

  void handle(CallerRequest caller) {
    Either<ProblemDocument, PlainCall> call = parse(caller);
    if (call.isLeft()) {
      caller.refuse(context, call.getLeft());
    } else {
      call.get().start();
    }
  }

  private Either<ProblemDocument, PlainCall> parse(CallerRequest caller) {
    String routeName = firstSegment(caller.exchange().getRequestPath());
    return caller
        .route(context, routeName, ServiceKind.PLAIN)
        .flatMap(
            routed ->
                caller
                    .deadlineNanos(context, routed.route())
                    .flatMap(deadlineNanos -> parse(caller, routed, deadlineNanos)));
  }

  private Either<ProblemDocument, PlainCall> parse(
      CallerRequest caller, CallerRequest.RoutedService routed, long deadlineNanos) {
    String method = caller.exchange().getRequestMethod().toString();
    String organisation = caller.organisation().name();
    String route = routed.route().name();
    PlainRequest request =
        new PlainRequest(
            caller.exchange().getRequestMethod(),
            pathAndQuery(caller.exchange()),
            headersToForward(caller),
            caller.body(),
            routed.service().name(),
            organisation,
            Fingerprint.of(organisation, route, fingerprintInput(caller)),
            deadlineNanos);
    if (routed.route().idempotentMethods().contains(method)) {
      return Either.right(PlainCall.idempotent(context, caller, request));
    }
    String key = caller.header(RelayHeaders.IDEMPOTENCY_KEY);
    if (key == null) {
      return Either.left(context.problems().idempotencyKeyMissing(method));
    }
    if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
      String detail = "Idempotency-Key: expected 1 to " + MAX_KEY_LENGTH + " characters";
      return Either.left(context.problems().badRequest(detail));
    }
    CallKey callKey = new CallKey(organisation, route, key);
    return Either.right(PlainCall.atMostOnce(context, caller, request, callKey));
  }

  private static HeaderMap headersToForward(CallerRequest caller) {
    HeaderMap headers = new HeaderMap();
    HopByHopHeaders.copyEndToEnd(caller.exchange().getRequestHeaders(), headers);
    if (caller.organisation().keySha256() != null) {
      // The header contains the organisation's API key, which is not forwarded.
      headers.remove(Headers.AUTHORIZATION);
    }
    return headers;
  }

  private static byte[] fingerprintInput(CallerRequest caller) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String line =
        caller.exchange().getRequestMethod() + " " + pathAndQuery(caller.exchange()) + "\n";
    bytes.writeBytes(line.getBytes(StandardCharsets.UTF_8));
    bytes.writeBytes(caller.body().toByteArray());
    return bytes.toByteArray();
  }

  private static String pathAndQuery(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI();
    return query.isEmpty() ? path : path + "?" + query;
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('/', 1);
    return path.substring(1, end < 0 ? path.length() : end);
  }
}
