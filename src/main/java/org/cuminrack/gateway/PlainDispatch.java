package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.relay.NotSentReason;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;
import org.xnio.XnioExecutor;

/** One dispatch of a plain request to one upstream. Confined to one I/O thread. */
final class PlainDispatch implements UpstreamListener {
  private final GatewayContext context;
  private final GatewayCall call;
  private final Reservation reservation;
  private final Listener listener;
  private final BoundedBody body;
  private final DispatchOutcome outcome;
  private UpstreamExchange exchange;
  private XnioExecutor.Key slowTimer = () -> false;
  private Optional<SuspectDispatch> suspectDispatch = Optional.empty();
  private ResponseHead responseHead;
  private HeaderMap headers;
  private int status;
  private boolean sent;
  private long sentNanos;
  private long answeredNanos;

  PlainDispatch(
      GatewayContext context, GatewayCall call, Reservation reservation, Listener listener) {
    this.context = context;
    this.call = call;
    this.reservation = reservation;
    this.listener = listener;
    this.body = new BoundedBody(context.bounds().maxResponseBytes());
    this.outcome = new DispatchOutcome(context, call, reservation.upstream());
  }

  /** Receives the end of a dispatch; the dispatch is closed, except in {@link #slow}. */
  interface Listener {
    /** Nothing was sent. */
    void notSent();

    /** No complete response has come within the time given to {@link #open}. */
    void slow(PlainDispatch dispatch);

    /** The response is complete. */
    void responded(PlainDispatch dispatch, ResponseHead head, int status);

    /** The response was lost; the upstream may have run the request. */
    void lost(String detail);
  }

  /**
   * Opens a connection and sends the request.
   *
   * @param slowAfter the time after which the listener is told that the response is slow
   */
  void open(Optional<Duration> slowAfter) {
    exchange =
        call.io()
            .open(call.requestTo(reservation.upstream(), Optional.empty(), Optional.empty()), this);
    slowAfter.ifPresent(
        wait -> slowTimer = call.io().timeout(wait.toMillis(), () -> listener.slow(this)));
  }

  /** Drops the connection and releases the reservation; the listener is not called again. */
  void close() {
    slowTimer.remove();
    suspectDispatch.ifPresent(SuspectDispatch::abandoned);
    outcome.abandoned();
    reservation.release();
    if (exchange != null) {
      exchange.close();
    }
  }

  /** Returns whether the upstream may have received the request. */
  boolean isSent() {
    return sent;
  }

  /** Records that another upstream than the intended one refused the request. */
  void markMisdirected() {
    sent = false;
    context.counters().add(GatewayCounters.Kind.MISDIRECTED_SENDS);
    recordFailure();
  }

  /** Closes a dispatch that is slow; its upstream may still run the request. */
  void abandon(String detail) {
    recordFailure();
    close();
    call.recordLost(reservation.upstream(), detail);
  }

  /** Forwards the complete response to the caller, unless the call has ended. */
  void forwardResponse() {
    if (call.markAnswered(status, "")) {
      call.exchange().setStatusCode(status);
      HopByHopHeaders.copyEndToEnd(headers, call.exchange().getResponseHeaders());
      call.exchange().getResponseSender().send(body.toByteString().asReadOnlyByteBuffer());
    }
  }

  /** Records that the upstream has answered as it should. */
  void recordSuccess() {
    context.health().recordSuccess(reservation.upstream().id());
    context
        .paces()
        .recordPlain(
            reservation.upstream(),
            call.route().name(),
            reservation.loadBefore().requests(),
            Duration.ofNanos(answeredNanos - sentNanos));
  }

  private void recordFailure() {
    context.health().recordFailure(reservation.upstream().id());
  }

  @Override
  public boolean maySend() {
    sent = call.maySendTo(reservation.upstream());
    if (sent) {
      sentNanos = context.clock().nanoTime();
      outcome.sent();
      suspectDispatch = Optional.of(call.suspicion().registerDispatch(reservation.upstream()));
    }
    return sent;
  }

  @Override
  public void notSent(NotSentReason reason) {
    sent = false;
    close();
    if (reason != NotSentReason.NOT_PERMITTED) {
      recordFailure();
      context.recordNoResponse(reservation.upstream());
    }
    listener.notSent();
  }

  @Override
  public void responseStarted(int responseStatus, HeaderMap responseHeaders) {
    status = responseStatus;
    headers = responseHeaders;
    responseHead =
        context.headers().readResponse(responseStatus, responseHeaders, call.head().attemptId());
    context.recordAnswer(reservation.upstream(), responseHead);
    if (!responseHead.matchesRequest()) {
      lost("the answer belongs to another request");
    }
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    if (!body.append(bytes)) {
      lost("the answer is larger than allowed");
    }
  }

  @Override
  public void completed() {
    answeredNanos = context.clock().nanoTime();
    if (responseHead.notExecuted()) {
      onComplete();
      return;
    }
    slowTimer.remove();
    ResponseEnd.check(call, reservation.upstream(), status, headers, this::onComplete, this::lost);
  }

  private void onComplete() {
    if (!responseHead.notExecuted()) {
      suspectDispatch.ifPresent(SuspectDispatch::completed);
      outcome.responded(status);
    }
    close();
    listener.responded(this, responseHead, status);
  }

  @Override
  public void failed(String detail) {
    lost(detail);
  }

  private void lost(String detail) {
    Optional<SuspectDispatch> lostDispatch = suspectDispatch;
    suspectDispatch = Optional.empty();
    outcome.failed();
    close();
    recordFailure();
    if (responseHead == null) {
      context.recordNoResponse(reservation.upstream());
    }
    call.recordLost(reservation.upstream(), detail);
    call.suspicion().checkLost(lostDispatch, call.io(), () -> listener.lost(detail));
  }
}
