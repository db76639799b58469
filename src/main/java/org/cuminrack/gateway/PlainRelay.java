package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminrack.fairshare.QueueEntry;
import org.cuminrack.log.LogEvent;

/**
 * Relays a request whose response is not a stream. The response is buffered and forwarded only once
 * it is complete, so that the caller never mistakes a truncated response for a complete one.
 */
final class PlainRelay implements PlainDispatch.Listener, StoppableCall {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SERVER_ERROR = 500;

  /**
   * Dispatches that could not be sent, or reached another upstream than intended, after which the
   * request is refused.
   */
  private static final int MAX_UNSENT_DISPATCHES = 4;

  /**
   * Multiple of the target latency after which an unanswered idempotent request is sent to another
   * upstream.
   */
  private static final int RETRY_DELAY_TARGET_MULTIPLE = 2;

  /**
   * Interval at which a request retries to reserve an upstream while upstreams may not have
   * announced themselves yet, or are at their request rate limit while warming up.
   */
  private static final Duration UPSTREAMS_POLL_INTERVAL = Duration.ofMillis(50);

  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  private final GatewayContext context;
  private final GatewayCall call;
  private final QueuedCall queued;
  private final Set<String> triedIds = new HashSet<>();
  private PlainDispatch current;
  private int unsentDispatches;

  /** Whether an earlier dispatch ended without a usable response; it may have run. */
  private boolean responseLost;

  private PlainRelay(GatewayContext context, GatewayCall call) {
    this.context = context;
    this.call = call;
    this.queued = new QueuedCall(context, call);
  }

  static void begin(GatewayContext context, GatewayCall call) {
    PlainRelay relay = new PlainRelay(context, call);
    call.limit(relay);
    call.watchCaller(relay::onCallerDisconnected);
    if (!call.hasEnded()) {
      context.retries().recordFirstAttempt(call.service().name());
      CallStart.unlessSuspended(context, call, relay::sendFirst);
    }
  }

  /** Sends the request once the load on the service's upstreams is known. */
  private void sendFirst() {
    context
        .freshness()
        .refresh(call.service().name(), () -> call.io().execute(this::sendUnlessEnded));
  }

  private void send() {
    String service = call.service().name();
    PlainPlacing placing =
        new PlainPlacing(
            context.selector(),
            service,
            triedIds,
            reserved -> call.io().execute(() -> dispatch(reserved)),
            () -> call.io().execute(this::onNotPlaced));
    QueueEntry.State state = queued.enter(1, placing).state();
    if (state == QueueEntry.State.PLACED || state == QueueEntry.State.ENDED) {
      return;
    }
    Optional<Duration> retryAfter = context.selector().retryAfter(service);
    boolean hasAvailableUpstream = context.selector().hasAvailableUpstream(service);
    if (retryAfter.isPresent()) {
      queued.cancel();
      refuse(GatewayFailure.UPSTREAMS_LIMITED, retryAfter.get(), "");
    } else if (state == QueueEntry.State.REFUSED) {
      onNotPlaced();
    } else if (hasAvailableUpstream || mayBecomeAvailable(false)) {
      retryWhileQueued();
    } else {
      queued.cancel();
      refuse(GatewayFailure.NO_UPSTREAM, "");
    }
  }

  /** Retries the queue while the request waits there; other gateways release slots, too. */
  private void retryWhileQueued() {
    boolean waits =
        queued.entry().filter(entry -> entry.state() == QueueEntry.State.WAITING).isPresent();
    if (waits && !call.hasEnded()) {
      context.queue().of(call.service().name()).retry();
      call.io().after(UPSTREAMS_POLL_INTERVAL.toMillis(), this::retryWhileQueued);
    }
  }

  private void dispatch(Reservation reservation) {
    if (call.hasEnded()) {
      reservation.release();
      context.queue().retry();
    } else if (!call.endsBeforeStop()) {
      reservation.release();
      context.queue().retry();
      refuse(GatewayFailure.STOPPING, StopAdmission.RETRY_AFTER, "queued");
    } else if (!call.isKeyInForce()) {
      reservation.release();
      context.queue().retry();
      call.fail(GatewayFailure.KEY_UNKNOWN, Optional.empty(), "withdrawn while queued");
    } else {
      queued.recordPlaced();
      triedIds.add(reservation.upstream().id());
      current = new PlainDispatch(context, call, reservation, this);
      current.open(retryDelay());
    }
  }

  /** Refuses the request, unless an upstream may take it soon that doesn't now. */
  private void onNotPlaced() {
    if (call.hasEnded()) {
      return;
    }
    boolean hasAvailableUpstream = context.selector().hasAvailableUpstream(call.service().name());
    if (mayBecomeAvailable(hasAvailableUpstream) && hasTimeToWait()) {
      call.io().after(UPSTREAMS_POLL_INTERVAL.toMillis(), this::sendUnlessEnded);
    } else if (hasAvailableUpstream) {
      Duration retryAfter =
          queued.entry().map(entry -> queued.refuse(entry, RETRY_AFTER)).orElse(RETRY_AFTER);
      refuse(GatewayFailure.OVERLOADED, retryAfter, "");
    } else {
      refuse(GatewayFailure.NO_UPSTREAM, "");
    }
  }

  /** Returns the time after which an unanswered request is retried; empty if it may not be. */
  private Optional<Duration> retryDelay() {
    return call.route().kind().isRetryable() && call.route().maxAttempts() > 1
        ? Optional.of(call.route().targetLatency().multipliedBy(RETRY_DELAY_TARGET_MULTIPLE))
        : Optional.empty();
  }

  private boolean mayBecomeAvailable(boolean hasAvailableUpstream) {
    return hasAvailableUpstream
        ? context.selector().hasThrottledColdUpstream(call.service().name())
        : context.view().mayLackAnnouncements(context.clock().nanoTime());
  }

  private boolean hasTimeToWait() {
    return call.remaining().compareTo(call.route().targetLatency()) > 0;
  }

  private void sendUnlessEnded() {
    if (!call.hasEnded()) {
      send();
    }
  }

  /** Fails the call as not executed, unless an earlier dispatch of the request may have run. */
  private void refuse(GatewayFailure failure, String detail) {
    refuse(failure, RETRY_AFTER, detail);
  }

  private void refuse(GatewayFailure failure, Duration retryAfter, String detail) {
    if (responseLost) {
      call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
    } else {
      call.fail(failure, Optional.of(retryAfter), detail);
    }
  }

  @Override
  public boolean mayHaveRun() {
    return responseLost || (current != null && current.isSent());
  }

  @Override
  public void end(CallEnd reason) {
    boolean mayHaveRun = mayHaveRun();
    giveUp();
    call.fail(reason, mayHaveRun, RETRY_AFTER);
  }

  private void onCallerDisconnected() {
    giveUp();
    call.markCallerDisconnected();
  }

  private void giveUp() {
    if (current != null) {
      call.giveUp(current.isSent() && !call.hasEnded(), current::close);
    }
  }

  /** Takes one retry from the budget if the request may be retried; returns whether it may. */
  private boolean tryAcquireRetry() {
    return call.route().kind().isRetryable()
        && !call.suspicion().isSuspended()
        && call.sendCount() < call.route().maxAttempts()
        && call.remaining().compareTo(call.route().targetLatency().dividedBy(2)) > 0
        && call.tryAcquireRetry();
  }

  private void retry(String cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-repeated")
            .with("request", call.head().attemptId())
            .with("cause", cause)
            .with("sends", call.sendCount())
            .with("age_ms", call.age().toMillis()));
    context.counters().add(GatewayCounters.Kind.REPEATED_SENDS);
    send();
  }

  @Override
  public void notSent() {
    unsentDispatches++;
    if (call.suspicion().isSuspended()) {
      refuse(GatewayFailure.SUSPENDED, "");
    } else if (unsentDispatches >= MAX_UNSENT_DISPATCHES) {
      refuse(GatewayFailure.NOT_SENT, "connect");
    } else {
      send();
    }
  }

  @Override
  public void slow(PlainDispatch dispatch) {
    if (current == dispatch && !call.hasEnded() && tryAcquireRetry()) {
      responseLost = true;
      dispatch.abandon("no answer in time");
      retry("no answer in time");
    }
  }

  @Override
  public void responded(PlainDispatch dispatch, ResponseHead head, int status) {
    if (head.misdirected()) {
      onMisdirected(dispatch);
    } else if (head.notExecuted()) {
      onNotExecuted(status);
    } else if (status >= SERVER_ERROR && tryAcquireRetry()) {
      retry("status " + status);
    } else {
      if (status < SERVER_ERROR) {
        dispatch.recordSuccess();
      }
      dispatch.forwardResponse();
    }
  }

  /** Sends the request to another upstream; the one that rejected it counts as a retry. */
  private void onMisdirected(PlainDispatch dispatch) {
    dispatch.markMisdirected();
    if (call.tryAcquireRetry()) {
      notSent();
    } else {
      refuse(GatewayFailure.NOT_SENT, "misdirected");
    }
  }

  private void onNotExecuted(int status) {
    if (tryAcquireRetry()) {
      retry("not run, status " + status);
    } else {
      Duration retryAfter =
          context.selector().retryAfter(call.service().name()).orElse(RETRY_AFTER);
      refuse(GatewayFailure.UPSTREAM_REFUSED, retryAfter, "status " + status);
    }
  }

  @Override
  public void lost(String detail) {
    if (call.hasEnded()) {
      return;
    }
    responseLost = true;
    if (tryAcquireRetry()) {
      retry(detail);
    } else {
      call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
    }
  }
}
