package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.cuminrack.fairshare.Claimant;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.relay.CallerExchanges;
import org.cuminrack.relay.DisconnectWatcher;
import org.cuminrack.relay.IoContext;
import org.cuminrack.relay.UpstreamRequest;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.KeyHolder;
import org.cuminrack.routing.RoutingTable;
import org.cuminrack.routing.ServiceSpec;

/**
 * One request of a caller, from the end of its body to its outcome, which is recorded once.
 * Confined to one I/O thread.
 */
final class GatewayCall {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Subtracted from the caller's deadline, so that the response arrives before the caller gives up.
   */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(30);

  private final GatewayContext context;
  private final RelayedRequest request;
  private final HttpServerExchange exchange;
  private final HttpRoute route;
  private final ServiceSpec service;
  private final RequestHead head;
  private final CallSuspicion suspicion;
  private final IoContext io;
  private final long arrivedNanos;
  private int sendCount;
  private String upstreamId = "none";
  private long firstEventMillis = -1;
  private Runnable onEnd = () -> {};
  private Runnable callerCheck = () -> {};
  private boolean ended;

  GatewayCall(
      GatewayContext context,
      RelayedRequest request,
      HttpRoute route,
      ServiceSpec service,
      long arrivedNanos) {
    this.context = context;
    this.request = request;
    this.exchange = request.exchange();
    this.route = route;
    this.service = service;
    this.head = request.head();
    this.suspicion = CallSuspicion.of(context.suspects(), request, service.name());
    this.io = IoContext.of(exchange, context.bounds());
    this.arrivedNanos = arrivedNanos;
  }

  HttpServerExchange exchange() {
    return exchange;
  }

  HttpRoute route() {
    return route;
  }

  ServiceSpec service() {
    return service;
  }

  RequestHead head() {
    return head;
  }

  IoContext io() {
    return io;
  }

  /**
   * Returns the priority of the organisation, or that of the route if the organisation has none; 0
   * is the most urgent.
   */
  int priority() {
    OptionalInt ofOrganisation =
        request.keyHolder().map(KeyHolder::priority).orElse(OptionalInt.empty());
    return ofOrganisation.orElse(route.priority());
  }

  /** Returns whose claim to the service the request is placed on. */
  Claimant claimant() {
    return new Claimant(request.keyHolder().map(KeyHolder::organisation).orElse(""), priority());
  }

  /** Returns whether the caller's API key, if it needs one, is still in force. */
  boolean isKeyInForce() {
    return request.keyHolder().isEmpty()
        || context.view().routing().map(this::holdsKeyIn).orElse(true);
  }

  private boolean holdsKeyIn(RoutingTable table) {
    return !table.requiresApiKeys() || head.apiKey().flatMap(table::holderOf).isPresent();
  }

  /** Runs a task once the call has ended, whatever its outcome; replaces an earlier task. */
  void runAtEnd(Runnable task) {
    onEnd = task;
  }

  /** Records the time to the first event of the stream. */
  void recordFirstEvent() {
    Duration sinceArrival = age();
    firstEventMillis = sinceArrival.toMillis();
    context.requestMetrics().recordFirstEvent(sinceArrival);
  }

  boolean hasEnded() {
    return ended;
  }

  /** Returns to how many upstreams the request was sent, whether they ran it or not. */
  int sendCount() {
    return sendCount;
  }

  /** Returns the time since the request arrived. */
  Duration age() {
    return Duration.ofNanos(context.clock().nanoTime() - arrivedNanos);
  }

  /**
   * Returns the time left until the caller's deadline or the route's timeout, whichever is earlier,
   * less the response margin.
   */
  Duration remaining() {
    return head.timeLimit(route).minus(age()).minus(RESPONSE_MARGIN);
  }

  /** Returns whether the request ends before a planned stop, whatever its upstream does. */
  boolean endsBeforeStop() {
    return context.stopAdmission().admits(remaining());
  }

  /** Watches the caller's connection; the task runs at once if the caller has left already. */
  void watchCaller(Runnable onDisconnect) {
    callerCheck = DisconnectWatcher.begin(exchange, onDisconnect);
  }

  /**
   * Closes what the call holds of upstreams because the request is given up.
   *
   * @param upstreamWorks whether an upstream may be working on the request
   */
  void giveUp(boolean upstreamWorks, Runnable close) {
    long startNanos = context.clock().nanoTime();
    close.run();
    if (upstreamWorks) {
      context.counters().add(GatewayCounters.Kind.GIVEN_UP_SENDS);
      context
          .requestMetrics()
          .recordGivenUp(Duration.ofNanos(context.clock().nanoTime() - startNanos));
    }
  }

  /** Ends the call at its deadline or with a planned stop of the gateway, unless it has ended. */
  void limit(StoppableCall stoppable) {
    context.runningCalls().add(this, stoppable);
    io.timeout(
        Math.max(0, remaining().toMillis()),
        () -> {
          if (!ended) {
            stoppable.end(CallEnd.DEADLINE);
          }
        });
  }

  CallSuspicion suspicion() {
    return suspicion;
  }

  /** Returns whether the request may be sent to an upstream now; if so, it counts as sent. */
  boolean maySendTo(UpstreamRecord upstream) {
    callerCheck.run();
    boolean permitted =
        !ended && context.selector().maySendTo(upstream) && !suspicion.isSuspended();
    if (permitted) {
      sendCount++;
    }
    return permitted;
  }

  /**
   * Returns whether the stream may be resumed on an upstream now; if so, it counts as sent and
   * resumed.
   */
  boolean mayResumeOn(UpstreamRecord upstream) {
    callerCheck.run();
    boolean permitted =
        !ended && context.selector().mayResumeOn(upstream) && !suspicion.isSuspendedFromResuming();
    if (permitted) {
      sendCount++;
      context.notices().recordResumed(upstream);
    }
    return permitted;
  }

  /** Takes one retry from the service's budget; counts it as denied if the budget is exhausted. */
  boolean tryAcquireRetry() {
    boolean acquired = context.retries().tryAcquireRetry(service.name());
    if (!acquired) {
      context.counters().add(GatewayCounters.Kind.RETRIES_DENIED);
    }
    return acquired;
  }

  /** Creates the request for a dispatch to an upstream. */
  UpstreamRequest requestTo(
      UpstreamRecord upstream, Optional<String> backupAddress, Optional<ResumePoint> resume) {
    upstreamId = upstream.id();
    context.counters().add(GatewayCounters.Kind.SENDS);
    return request.to(upstream, context.headers(), remaining(), backupAddress, resume);
  }

  /**
   * Ends the call with an error response of the gateway, or drops the connection if the response
   * has begun.
   */
  void fail(GatewayFailure failure, Optional<Duration> retryAfter, String detail) {
    if (!end(failure.label(), failure.status(), detail)) {
      return;
    }
    boolean refused = failure.status() == 503;
    context.counters().add(refused ? GatewayCounters.Kind.REFUSED : GatewayCounters.Kind.FAILED);
    if (exchange.isResponseStarted()) {
      CallerExchanges.drop(exchange);
    } else {
      failure.send(exchange, retryAfter);
    }
  }

  /** Ends the call, whose response has not begun, with the error response for the reason. */
  void fail(CallEnd reason, boolean mayHaveRun, Duration usualRetryAfter) {
    fail(
        reason.failure(mayHaveRun),
        mayHaveRun ? Optional.empty() : Optional.of(reason.retryAfter(usualRetryAfter)),
        reason.label());
  }

  /** Records that a dispatch was lost after it may have reached its upstream. */
  void recordLost(UpstreamRecord upstream, String detail) {
    suspicion.recordLost();
    logger.atInfo().log(
        "%s",
        LogEvent.named("upstream-lost")
            .with("request", head.attemptId())
            .with("content", suspicion.content())
            .with("prompt_parts", head.promptParts().stream().limit(RequestKeys.MAX_PARTS).toList())
            .with("upstream", upstream.id())
            .with("born_millis", upstream.startedMillis())
            .with("sends", sendCount)
            .with("on_trial", suspicion.isOnTrial())
            .with("age_ms", age().toMillis())
            .with("detail", detail));
    context.counters().add(GatewayCounters.Kind.LOST_SENDS);
  }

  /** Logs and counts that the stream resumes on another upstream. */
  void logResume(String nextUpstreamId, String lastEventId, String cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("stream-resumed")
            .with("request", head.attemptId())
            .with("upstream", nextUpstreamId)
            .with("after_event", lastEventId)
            .with("cause", cause));
    context.counters().add(GatewayCounters.Kind.RESUMED_STREAMS);
  }

  /**
   * Ends the call as answered; the relay that calls this then sends the response. Returns false if
   * the call had ended before.
   */
  boolean markAnswered(int status, String detail) {
    boolean endedNow = end("answered", status, detail);
    if (endedNow) {
      context.counters().add(GatewayCounters.Kind.ANSWERED);
    }
    return endedNow;
  }

  /**
   * Ends the call as aborted; the relay that calls this then drops the connection. Returns false if
   * the call had ended before.
   */
  boolean markAborted(String detail) {
    boolean endedNow = end("broken-off", 0, detail);
    if (endedNow) {
      context.counters().add(GatewayCounters.Kind.FAILED);
    }
    return endedNow;
  }

  /** Ends the call and its exchange because the caller's connection is lost. */
  void markCallerDisconnected() {
    if (end("caller-gone", 0, "")) {
      context.counters().add(GatewayCounters.Kind.CALLERS_GONE);
      CallerExchanges.drop(exchange);
    }
  }

  private boolean end(String outcome, int status, String detail) {
    if (ended) {
      return false;
    }
    ended = true;
    context.runningCalls().remove(this);
    suspicion.recordEnd();
    onEnd.run();
    context.requestMetrics().recordRequest(outcome, age());
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-ended")
            .with("request", head.attemptId())
            .with("content", suspicion.content())
            .with("route", route.name())
            .with("service", service.name())
            .with("routing_revision", context.view().routingRevision())
            .with("outcome", outcome)
            .with("status", status)
            .with("upstream", upstreamId)
            .with("sends", sendCount)
            .with("first_event_ms", firstEventMillis)
            .with("total_ms", age().toMillis())
            .with("detail", detail));
    return true;
  }
}
