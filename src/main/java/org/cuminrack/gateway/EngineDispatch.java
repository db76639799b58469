package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.relay.NotSentReason;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;

/** One dispatch of a generation to one engine. Confined to one I/O thread. */
final class EngineDispatch implements UpstreamListener {
  private static final int STATUS_OK = 200;
  private static final int STATUS_REDIRECT = 300;
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private final GatewayContext context;
  private final GatewayCall call;
  private final Reservation reservation;
  private final Optional<Reservation> backup;
  private final Optional<ResumePoint> resumedFrom;
  private final EngineDispatchListener listener;
  private final EventSplitter splitter;
  private final BoundedBody refusalBody;
  private final GenerationStop stop = new GenerationStop();
  private final StreamTimings timings;
  private final DispatchOutcome outcome;
  private UpstreamExchange exchange;
  private Optional<SuspectDispatch> suspectDispatch = Optional.empty();
  private ResponseHead responseHead;
  private HeaderMap headers;
  private int status;
  private boolean sent;
  private boolean closed;

  private EngineDispatch(
      GatewayContext context,
      GatewayCall call,
      Reservation reservation,
      Optional<Reservation> backup,
      Optional<ResumePoint> resumedFrom,
      EngineDispatchListener listener) {
    this.context = context;
    this.call = call;
    this.reservation = reservation;
    this.backup = backup;
    this.resumedFrom = resumedFrom;
    this.listener = listener;
    this.refusalBody = new BoundedBody(context.bounds().maxResponseBytes());
    this.timings =
        new StreamTimings(
            context.paces(), context.clock(), reservation.upstream(), reservation.prefillTokens());
    this.outcome = new DispatchOutcome(context, call, reservation.upstream());
    this.splitter = new EventSplitter(MAX_EVENT_BYTES, this::eventReceived);
  }

  /** Opens a connection and sends the request. */
  static EngineDispatch open(
      GatewayContext context,
      GatewayCall call,
      Reservation reservation,
      Optional<Reservation> backup,
      Optional<ResumePoint> resumedFrom,
      EngineDispatchListener listener) {
    EngineDispatch dispatch =
        new EngineDispatch(context, call, reservation, backup, resumedFrom, listener);
    Optional<String> backupAddress = backup.map(reserved -> reserved.upstream().address());
    dispatch.exchange =
        call.io()
            .open(call.requestTo(reservation.upstream(), backupAddress, resumedFrom), dispatch);
    return dispatch;
  }

  Reservation reservation() {
    return reservation;
  }

  Optional<Reservation> backup() {
    return backup;
  }

  boolean isResumed() {
    return resumedFrom.isPresent();
  }

  /** Returns whether the engine may have received the request. */
  boolean isSent() {
    return sent;
  }

  /** Returns whether another upstream than the intended one rejected the request. */
  boolean wasMisdirected() {
    return responseHead != null && responseHead.misdirected();
  }

  int status() {
    return status;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns whether the generation could resume from its backup. */
  boolean hasUsableBackup() {
    return backup
        .filter(reserved -> context.selector().mayResumeOn(reserved.upstream()))
        .isPresent();
  }

  void suspend() {
    timings.readingPaused();
    exchange.suspend();
  }

  void resume() {
    exchange.resume();
  }

  /** Drops the connection and releases both reservations; the listener is not called again. */
  void close() {
    closeKeepingBackup();
    backup.ifPresent(Reservation::release);
    context.queue().retry();
  }

  /** Drops the connection and releases the engine's reservation, but not that of the backup. */
  void closeKeepingBackup() {
    closed = true;
    suspectDispatch.ifPresent(SuspectDispatch::abandoned);
    outcome.abandoned();
    if (exchange != null) {
      exchange.close();
    }
    reservation.release();
  }

  @Override
  public boolean maySend() {
    UpstreamRecord upstream = reservation.upstream();
    sent = isResumed() ? call.mayResumeOn(upstream) : call.maySendTo(upstream);
    if (sent) {
      timings.requestSent();
      if (!isResumed()) {
        outcome.sent();
      }
      suspectDispatch =
          Optional.of(
              isResumed()
                  ? call.suspicion().registerResumedDispatch(upstream)
                  : call.suspicion().registerDispatch(upstream));
    }
    return sent;
  }

  @Override
  public void notSent(NotSentReason reason) {
    sent = false;
    if (reason != NotSentReason.NOT_PERMITTED) {
      context.health().recordFailure(reservation.upstream().id());
      context.recordNoResponse(reservation.upstream());
    }
    close();
    listener.notSent(this);
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
    } else if (isStream()) {
      listener.streamStarted(responseStatus, responseHeaders);
    }
  }

  private void eventReceived(String id, byte[] bytes) {
    timings.eventReceived();
    suspectDispatch.ifPresent(SuspectDispatch::outputReceived);
    outcome.event();
    listener.event(id, bytes);
  }

  private boolean isStream() {
    return status >= STATUS_OK && status < STATUS_REDIRECT;
  }

  @Override
  public void bodyReceived(ByteBuffer bytes) {
    if (!isStream()) {
      if (!refusalBody.append(bytes)) {
        lost("the answer is larger than allowed");
      }
      return;
    }
    Optional<String> error = splitter.feed(bytes);
    if (error.isPresent()) {
      lost(error.get());
    } else if (!closed) {
      listener.eventsRead();
    }
  }

  @Override
  public void completed() {
    if (responseHead.notExecuted()) {
      onRefused();
    } else if (isStream() && splitter.isInsideEvent()) {
      lost("the stream ended inside an event");
    } else if (ResponseEnd.isDetectable(call, status, headers)) {
      checkEnd();
    } else {
      handleEnd(stop.connectionEnded());
    }
  }

  /** Handles the end of the connection of an unframed response. */
  private void handleEnd(GenerationStop.End end) {
    switch (end) {
      case OF_RESPONSE -> checkEnd();
      case OF_GENERATION_STOP -> lost("the engine may have stopped the generation for a move");
      case UNDECIDED -> {
        // The answer to the stop decides.
      }
    }
  }

  private void checkEnd() {
    Runnable onComplete = isStream() ? this::onStreamEnded : this::onRefused;
    ResponseEnd.check(call, reservation.upstream(), status, headers, onComplete, this::lost);
  }

  /** The engine is being told to stop the generation. */
  void stopRequested() {
    stop.requested();
  }

  /** The engine has stated that it did not stop the generation. */
  void stopRejected() {
    stop.rejected().ifPresent(this::handleEnd);
  }

  /** It is unknown whether the engine has stopped the generation. */
  void stopUnconfirmed() {
    stop.unconfirmed().ifPresent(this::handleEnd);
  }

  private void onStreamEnded() {
    if (closed) {
      return;
    }
    context.health().recordSuccess(reservation.upstream().id());
    suspectDispatch.ifPresent(SuspectDispatch::completed);
    outcome.completed();
    close();
    listener.streamEnded(this);
  }

  private void onRefused() {
    if (!responseHead.notExecuted()) {
      suspectDispatch.ifPresent(SuspectDispatch::completed);
      outcome.responded(status);
    }
    close();
    if (responseHead.misdirected()) {
      context.counters().add(GatewayCounters.Kind.MISDIRECTED_SENDS);
    }
    if (responseHead.misdirected() && !isResumed()) {
      sent = false;
      listener.notSent(this);
    } else {
      listener.refused(
          this,
          new RefusedResponse(
              status, headers, refusalBody.toByteString(), responseHead.notExecuted()));
    }
  }

  @Override
  public void failed(String detail) {
    lost(detail);
  }

  /**
   * Abandons the engine. The backup's reservation passes to the listener, which uses or releases
   * it.
   */
  void lost(String detail) {
    if (closed) {
      return;
    }
    Optional<SuspectDispatch> lostDispatch = suspectDispatch;
    suspectDispatch = Optional.empty();
    outcome.failed();
    closeKeepingBackup();
    if (responseHead == null) {
      context.recordNoResponse(reservation.upstream());
    }
    call.recordLost(reservation.upstream(), detail);
    call.suspicion().checkLost(lostDispatch, call.io(), () -> listener.lost(this, detail));
  }
}
