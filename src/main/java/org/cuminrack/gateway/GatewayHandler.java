package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.cuminrack.fairshare.DemandTable;
import org.cuminrack.fleet.FleetView;
import org.cuminrack.pace.PaceTable;
import org.cuminrack.relay.BodyReader;
import org.cuminrack.relay.CallerExchanges;
import org.cuminrack.relay.IoContext;
import org.cuminrack.relay.RelayBounds;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.KeyHolder;
import org.cuminrack.routing.RoutingTable;
import org.cuminrack.routing.ServiceSpec;
import org.cuminrack.time.Clock;
import org.xnio.IoUtils;

/**
 * Handles callers' requests: finds the route, checks the key, reads the body and relays the
 * request.
 */
public final class GatewayHandler implements HttpHandler {
  /** A connection is established in about 1 ms; if it takes much longer, the VM is down. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  private static final Duration ROUTES_POLL_INTERVAL = Duration.ofMillis(20);

  /**
   * How long the connection of a caller whose body was too slow stays open, so that the response
   * can be sent.
   */
  private static final long LINGER_MILLIS = 200;

  private final GatewayContext context;
  private final RequestRejections rejections;

  public GatewayHandler(
      FleetView view,
      LoadTable loads,
      LoadFreshness freshness,
      DemandTable demand,
      RequestRateLimits rateLimits,
      UpstreamNotices notices,
      HeaderTranslation headers,
      EngineCalls engineCalls,
      GatewaySettings settings,
      CrashSuspects suspects,
      RequestMetrics requestMetrics,
      PaceTable paceTable,
      Clock clock) {
    UpstreamHealth health = new UpstreamHealth(clock);
    UpstreamPaces paces = new UpstreamPaces(paceTable);
    GatewayCounters counters = new GatewayCounters();
    StopAdmission stopAdmission = new StopAdmission(clock);
    context =
        new GatewayContext(
            view,
            headers,
            engineCalls,
            new UpstreamSelector(
                view,
                loads,
                freshness,
                health,
                rateLimits,
                notices,
                paces,
                counters,
                settings,
                clock,
                RandomGenerator.getDefault()),
            freshness,
            health,
            new ServiceReach(clock),
            rateLimits,
            notices,
            paces,
            new RetryBudgets(settings, () -> view.gateways().size()),
            suspects,
            new GenerationQueue(
                settings.queuePolicy(), demand, weights(view), clock, RandomGenerator.getDefault()),
            stopAdmission,
            new RunningCalls(stopAdmission),
            counters,
            requestMetrics,
            new VersionOutcomes(view::rollouts, clock),
            RelayBounds.defaults().withConnectTimeout(CONNECT_TIMEOUT),
            clock);
    rejections = new RequestRejections(context);
    view.onChange(context.queue()::retry);
  }

  private static ToDoubleFunction<String> weights(FleetView view) {
    return organisation ->
        view.routing().map(table -> table.weightOf(organisation)).orElse(KeyHolder.DEFAULT_WEIGHT);
  }

  /** Retries the reservations of queued generations; call it after a change of others' load. */
  public void onRemoteLoadChanged() {
    context.queue().retry();
  }

  /**
   * Begins a planned stop: closes callers' connections after their current request, and refuses
   * requests that may last longer than the stop timeout, also those that wait for a place.
   */
  public void beginStop(Duration stopTimeout) {
    context.stopAdmission().begin(stopTimeout);
    context.runningCalls().beginStop();
  }

  /**
   * Ends a planned stop: refuses each further request, and ends each request in progress with an
   * error response, or by dropping its connection if the response has begun.
   */
  public void endStop() {
    context.stopAdmission().end();
    context.runningCalls().endStop();
  }

  /** Returns what the versions of services that are rolled out answer. */
  public VersionOutcomes versionOutcomes() {
    return context.versionOutcomes();
  }

  public GatewayCounters counters() {
    return context.counters();
  }

  /** Returns which services this gateway reaches. */
  public ServiceReach reach() {
    return context.reach();
  }

  /** Returns the number of requests that wait for a place. */
  public int queuedGenerations() {
    return context.queue().size();
  }

  /** Returns the services for which generations wait. */
  public Set<String> waitingServices() {
    return context.queue().waitingServices();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    long arrivedNanos = context.clock().nanoTime();
    if (context.stopAdmission().isStopping()) {
      exchange.setPersistent(false);
    }
    context.counters().requestStarted();
    exchange.addExchangeCompleteListener(
        (completed, chain) -> {
          context.counters().requestEnded();
          chain.proceed();
        });
    Optional<RoutingTable> table = context.view().routing();
    if (table.isPresent()) {
      admit(exchange, table.get(), arrivedNanos);
    } else {
      IoContext io = IoContext.of(exchange, context.bounds());
      Duration maxWait = maxWait(exchange);
      exchange.dispatch(
          SameThreadExecutor.INSTANCE, () -> awaitRouting(exchange, io, arrivedNanos, maxWait));
    }
  }

  private Duration maxWait(HttpServerExchange exchange) {
    return RoutingWait.maxWait(
        context
            .headers()
            .readRequest(exchange.getRequestHeaders())
            .map(RequestHead::timeout)
            .getOrElse(Optional.empty()));
  }

  /** Polls for the routing table until it is available or the maximum wait has passed. */
  private void awaitRouting(
      HttpServerExchange exchange, IoContext io, long arrivedNanos, Duration maxWait) {
    Optional<RoutingTable> table = context.view().routing();
    if (table.isPresent()) {
      admit(exchange, table.get(), arrivedNanos);
    } else if (context.clock().nanoTime() - arrivedNanos > maxWait.toNanos()) {
      rejections.reject(exchange, GatewayFailure.NOT_READY, "");
    } else {
      io.after(
          ROUTES_POLL_INTERVAL.toMillis(), () -> awaitRouting(exchange, io, arrivedNanos, maxWait));
    }
  }

  private void admit(HttpServerExchange exchange, RoutingTable table, long arrivedNanos) {
    String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
    Optional<HttpRoute> route = table.route(host == null ? "" : host, exchange.getRequestURI());
    if (route.isEmpty()) {
      rejections.reject(exchange, GatewayFailure.NO_ROUTE, host + exchange.getRequestURI());
      return;
    }
    Either<String, RequestHead> head = context.headers().readRequest(exchange.getRequestHeaders());
    if (head.isLeft()) {
      rejections.reject(exchange, GatewayFailure.BAD_REQUEST, head.getLeft());
      return;
    }
    Optional<KeyHolder> keyHolder = head.get().apiKey().flatMap(table::holderOf);
    if (keyHolder.isEmpty() && table.requiresApiKeys() && !route.get().isPublic()) {
      rejections.reject(exchange, GatewayFailure.KEY_UNKNOWN, "route " + route.get().name());
      return;
    }
    AdmittedRequest admitted =
        new AdmittedRequest(
            route.get(),
            serviceOf(table, route.get(), head.get()),
            head.get(),
            keyHolder,
            arrivedNanos);
    if (!rejections.rejectIfStopping(exchange, admitted)) {
      readBody(exchange, table, admitted);
    }
  }

  private static ServiceSpec serviceOf(RoutingTable table, HttpRoute route, RequestHead head) {
    String name = route.serviceAt(head.splitPoint());
    return table.service(name).orElseThrow(() -> new IllegalStateException("no service " + name));
  }

  private void readBody(HttpServerExchange exchange, RoutingTable table, AdmittedRequest admitted) {
    IoContext io = IoContext.of(exchange, context.bounds());
    int maxBodyBytes = (int) Math.min(Integer.MAX_VALUE, table.limits().maxBodyBytes());
    BodyReader.read(
        exchange,
        maxBodyBytes,
        context.bounds().requestBodyTimeout(),
        io,
        new BodyReader.Listener() {
          @Override
          public void bodyComplete(ByteString body) {
            if (!rejections.rejectIfStopping(exchange, admitted)) {
              relay(exchange, admitted, body);
            }
          }

          @Override
          public void bodyTooLarge() {
            exchange.setPersistent(false);
            rejections.reject(
                exchange, GatewayFailure.BODY_TOO_LARGE, "at most " + maxBodyBytes + " bytes");
          }

          @Override
          public void bodyTimedOut() {
            exchange.setPersistent(false);
            rejections.reject(exchange, GatewayFailure.BODY_TOO_SLOW, "");
            io.after(LINGER_MILLIS, () -> IoUtils.safeClose(exchange.getConnection()));
          }

          @Override
          public void callerDisconnected() {
            context.counters().add(GatewayCounters.Kind.CALLERS_GONE);
            CallerExchanges.drop(exchange);
          }
        });
  }

  private void relay(HttpServerExchange exchange, AdmittedRequest admitted, ByteString body) {
    HttpRoute route = admitted.route();
    ServiceSpec service = admitted.service();
    GatewayCall call =
        new GatewayCall(
            context,
            new RelayedRequest(
                exchange,
                admitted.head(),
                route.isPublic() ? Optional.empty() : admitted.keyHolder(),
                body),
            route,
            service,
            admitted.arrivedNanos());
    if (route.kind().isStreamed() && service.engine().isPresent()) {
      StreamRelay.begin(context, call, service.engine().get());
    } else {
      PlainRelay.begin(context, call);
    }
  }
}
