package org.cuminrack.relay;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import org.cuminrack.admission.Admission;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.http.HttpAnswers;
import org.cuminrack.http.Ran;
import org.cuminrack.ledger.Ledger;
import org.cuminrack.log.LogEvent;
import org.cuminrack.member.CrashReports;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;

/**
 * What callers see of an entry: {@code GET /v1/entries}, {@code POST /v1/completions} and, for
 * every other path, plain calls under the name of a route.
 */
public final class CallerApi implements HttpHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ENTRIES_PATH = "/v1/entries";
  private static final String COMPLETIONS_PATH = "/v1/completions";
  private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(100);

  private final RelayContext context;
  private final RequestGate gate;
  private final HttpHandler completions;
  private final HttpHandler calls;
  private volatile boolean stopping;
  private volatile long refuseFromNanos;

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
            new Refusals(membership, settings),
            requestIds);
    gate = new RequestGate(context);
    completions = gate.then(new CompletionsHandler(context)::handle);
    calls = gate.then(new CallsHandler(context)::handle);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    if (path.equals(ENTRIES_PATH)) {
      sendEntries(exchange);
    } else if (stopping && context.clock().nanoTime() - refuseFromNanos >= 0) {
      refuseStopping(exchange);
    } else if (path.equals(COMPLETIONS_PATH)) {
      completions.handleRequest(exchange);
    } else {
      calls.handleRequest(exchange);
    }
  }

  private void sendEntries(HttpServerExchange exchange) {
    Refusals refusals = context.refusals();
    HttpAnswers.json(
        exchange,
        200,
        new EntriesAnswer(
            stopping ? refusals.otherEntries() : refusals.entries(),
            context.settings().addressTtl().toSeconds()));
  }

  private void refuseStopping(HttpServerExchange exchange) {
    context.counters().add(RelayCounters.REFUSALS);
    boolean keyed = exchange.getRequestHeaders().contains(RelayHeaders.IDEMPOTENCY_KEY);
    context
        .refusals()
        .refused(RefusalReason.STOPPING, RETRY_ELSEWHERE, keyed ? Ran.UNKNOWN : Ran.NO)
        .send(exchange);
  }

  /**
   * Begins a planned stop: this entry is handed out no more, serves callers that still hold its
   * address until that has run out, and refuses new requests after that. Requests in progress go
   * on.
   */
  public void beginStop() {
    refuseFromNanos = context.clock().nanoTime() + context.settings().addressTtl().toNanos();
    stopping = true;
    logger.atInfo().log(
        "%s", LogEvent.named("relay-stopping").with("in_flight", context.inFlight().size()));
  }

  /**
   * Waits until nothing is in progress; what still is at the end of the wait is logged.
   *
   * @return true where nothing is in progress any more
   */
  public boolean awaitIdle(Duration timeout) throws InterruptedException {
    boolean idle = context.inFlight().awaitIdle(timeout);
    if (!idle) {
      context.inFlight().descriptions().forEach(CallerApi::logCut);
    }
    return idle;
  }

  private static void logCut(String description) {
    logger.atWarning().log("%s", LogEvent.named("request-cut").with("request", description));
  }

  /** Returns how many requests are in progress. */
  public int inFlight() {
    return context.inFlight().size();
  }

  /** Returns a line for each request in progress, for the dump. */
  public Collection<String> describeInFlight() {
    return context.inFlight().descriptions();
  }

  /** Returns the counts of what the data path met. */
  public RelayCounters.Table counters() {
    return context.counters();
  }

  /** Returns the counts by name, for the dump. */
  public Map<String, Long> describeCounters() {
    return context.counters().asMap();
  }
}
