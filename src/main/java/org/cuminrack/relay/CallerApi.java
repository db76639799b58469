package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import org.cuminrack.admission.Admission;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.http.ExecutionStatus;
import org.cuminrack.http.HttpResponses;
import org.cuminrack.ledger.Ledger;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashReports;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;

/**
 * The HTTP API of an entry for callers: {@code GET /v1/entries}, {@code POST /v1/completions}, and
 * plain calls, whose path starts with the name of a route.
 */
public final class CallerApi implements HttpHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ENTRIES_PATH = "/v1/entries";
  private static final String COMPLETIONS_PATH = "/v1/completions";
  private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

  private final RelayContext context;
  private final RequestFilter filter;
  private final HttpHandler completions;
  private final HttpHandler calls;
  private volatile boolean stopping;
  private volatile long rejectFromNanos;

  public CallerApi(
      Membership membership,
      Admission admission,
      Ledger ledger,
      CrashReports crashReports,
      RelaySettings settings,
      Clock clock) {
    this(
        membership,
        admission,
        ledger,
        crashReports,
        settings,
        clock,
        RequestIds.random(settings.entryName()));
  }

  CallerApi(
      Membership membership,
      Admission admission,
      Ledger ledger,
      CrashReports crashReports,
      RelaySettings settings,
      Clock clock,
      RequestIds requestIds) {
    context =
        new RelayContext(
            membership,
            admission,
            ledger,
            crashReports,
            settings,
            clock,
            new RelayCounters.Table(),
            new EventIds(settings.eventKey()),
            new RunningRequests(crashReports, settings.bounds()),
            new InFlight(),
            new Problems(membership, settings),
            requestIds);
    filter = new RequestFilter(context);
    completions = filter.wrap(new CompletionsHandler(context)::handle);
    calls = filter.wrap(new CallsHandler(context)::handle);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    if (path.equals(ENTRIES_PATH)) {
      sendEntries(exchange);
    } else if (stopping && context.clock().nanoTime() - rejectFromNanos >= 0) {
      rejectWhileStopping(exchange);
    } else if (path.equals(COMPLETIONS_PATH)) {
      completions.handleRequest(exchange);
    } else {
      calls.handleRequest(exchange);
    }
  }

  private void sendEntries(HttpServerExchange exchange) {
    Problems problems = context.problems();
    HttpResponses.json(
        exchange,
        200,
        new EntriesResponse(
            stopping ? problems.otherEntries() : problems.entries(),
            context.settings().addressTtl().toSeconds()));
  }

  private void rejectWhileStopping(HttpServerExchange exchange) {
    context.counters().add(RelayCounters.REFUSALS);
    boolean hasIdempotencyKey = exchange.getRequestHeaders().contains(RelayHeaders.IDEMPOTENCY_KEY);
    context
        .problems()
        .refused(
            RefusalReason.STOPPING,
            STOPPING_RETRY_AFTER,
            hasIdempotencyKey ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO)
        .send(exchange);
  }

  /**
   * Begins a planned stop. {@code GET /v1/entries} no longer lists this entry. New requests are
   * accepted until the address TTL has passed, as callers may have cached the address, and are
   * rejected after that. Requests in progress continue.
   */
  public void beginStop() {
    rejectFromNanos = context.clock().nanoTime() + context.settings().addressTtl().toNanos();
    stopping = true;
    logger.atInfo().log(
        "%s", LogEvent.named("relay-stopping").with("in_flight", context.inFlight().size()));
  }

  /**
   * Waits until no request is in progress. Logs the requests still in progress at the timeout.
   *
   * @return false if requests were still in progress at the timeout
   */
  public boolean awaitIdle(Duration timeout) throws InterruptedException {
    boolean idle = context.inFlight().awaitIdle(timeout);
    if (!idle) {
      context.inFlight().descriptions().forEach(CallerApi::logInterrupted);
    }
    return idle;
  }

  private static void logInterrupted(String description) {
    logger.atWarning().log("%s", LogEvent.named("request-cut").with("request", description));
  }

  /** Returns the number of requests in progress. */
  public int inFlightCount() {
    return context.inFlight().size();
  }

  /** Returns a line for each request in progress, for the diagnostic dump. */
  public Collection<String> describeInFlight() {
    return context.inFlight().descriptions();
  }

  /** Returns the counters of the data path. */
  public RelayCounters.Table counters() {
    return context.counters();
  }

  /** Returns the counters by name, for the diagnostic dump. */
  public Map<String, Long> describeCounters() {
    return context.counters().asMap();
  }
}
