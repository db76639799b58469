package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.relay.CallerExchanges;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.relay.IoContext;
import org.cuminrack.relay.UpstreamRequest;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.KeyHolder;
import org.cuminrack.routing.ServiceSpec;

/** One request of a caller, from when it was read to its one end. Lives on one I/O thread. */
final class GatewayCall {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Kept back from the caller's time, so that the answer reaches it before it gives up. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(30);

  private final GatewayContext context;
  private final HttpServerExchange exchange;
  private final HttpRoute route;
  private final ServiceSpec service;
  private final RequestHead head;
  private final Optional<KeyHolder> holder;
  private final ByteString body;
  private final IoContext io;
  private final long arrivedNanos;
  private int sends;
  private String upstreamId = "none";
  private long firstEventMillis = -1;
  private boolean ended;

  GatewayCall(
      GatewayContext context,
      HttpServerExchange exchange,
      HttpRoute route,
      ServiceSpec service,
      RequestHead head,
      Optional<KeyHolder> holder,
      ByteString body,
      long arrivedNanos) {
    this.context = context;
    this.exchange = exchange;
    this.route = route;
    this.service = service;
    this.head = head;
    this.holder = holder;
    this.body = body;
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

  /** Returns the rank of the request: its organisation's, else its route's. */
  int priority() {
    OptionalInt ofOrganisation = holder.map(KeyHolder::priority).orElse(OptionalInt.empty());
    return ofOrganisation.orElse(route.priority());
  }

  /** Notes that the first event of a stream has come. */
  void firstEvent() {
    Duration after = age();
    firstEventMillis = after.toMillis();
    context.times().firstEvent(after);
  }

  boolean isOver() {
    return ended;
  }

  int sends() {
    return sends;
  }

  /** Returns how long the request has been here. */
  Duration age() {
    return Duration.ofNanos(context.clock().nanoTime() - arrivedNanos);
  }

  /** Returns how long the caller still waits, by its own word and by the route's timeout. */
  Duration left() {
    Duration limit =
        head.deadline().filter(each -> each.compareTo(route.timeout()) < 0).orElse(route.timeout());
    return limit.minus(age()).minus(ANSWER_MARGIN);
  }

  /** Runs a task when the caller's time is over, unless the call has ended. */
  void atDeadline(Runnable task) {
    io.after(
        Math.max(0, left().toMillis()),
        () -> {
          if (!ended) {
            task.run();
          }
        });
  }

  /** Returns the request as it is sent to an upstream, and counts it as sent. */
  UpstreamRequest requestTo(
      UpstreamRecord upstream, Optional<String> backupAddress, Optional<ResumePoint> resume) {
    sends++;
    upstreamId = upstream.id();
    context.counters().add(GatewayCounters.Kind.SENDS);
    HeaderMap headers = new HeaderMap();
    HopByHopHeaders.copyOthers(exchange.getRequestHeaders(), headers);
    headers.put(Headers.HOST, exchange.getHostAndPort());
    context
        .headers()
        .writeRequest(
            headers,
            new SendHead(
                left(), upstream.id(), holder.map(KeyHolder::organisation), backupAddress, resume));
    return new UpstreamRequest(
        upstream.address(), exchange.getRequestMethod(), pathAndQuery(), headers, body);
  }

  private String pathAndQuery() {
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI();
    return query.isEmpty() ? path : path + "?" + query;
  }

  /** Answers with a failure of the gateway's own. */
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

  /** Notes that a stream goes on at another upstream after an event. */
  void resumed(String nextUpstreamId, String lastEventId, String cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("stream-resumed")
            .with("request", head.attemptId())
            .with("upstream", nextUpstreamId)
            .with("after_event", lastEventId)
            .with("cause", cause));
    context.counters().add(GatewayCounters.Kind.RESUMED_STREAMS);
  }

  /** Notes that an upstream's answer goes to the caller; the owner sends it. */
  boolean answered(int status, String detail) {
    boolean first = end("answered", status, detail);
    if (first) {
      context.counters().add(GatewayCounters.Kind.ANSWERED);
    }
    return first;
  }

  /** Notes that an answer was broken off; the owner drops the connection. */
  boolean brokenOff(String detail) {
    boolean first = end("broken-off", 0, detail);
    if (first) {
      context.counters().add(GatewayCounters.Kind.FAILED);
    }
    return first;
  }

  /** Notes that the caller has left. */
  boolean abandoned() {
    boolean first = end("caller-gone", 0, "");
    if (first) {
      context.counters().add(GatewayCounters.Kind.CALLERS_GONE);
    }
    return first;
  }

  private boolean end(String outcome, int status, String detail) {
    if (ended) {
      return false;
    }
    ended = true;
    context.times().ended(outcome, age());
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-ended")
            .with("request", head.attemptId())
            .with("route", route.name())
            .with("service", service.name())
            .with("routing_revision", context.view().routingRevision())
            .with("outcome", outcome)
            .with("status", status)
            .with("upstream", upstreamId)
            .with("sends", sends)
            .with("first_event_ms", firstEventMillis)
            .with("total_ms", age().toMillis())
            .with("detail", detail));
    return true;
  }
}
