package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.relay.CallerSink;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.routing.EngineSpec;
import org.xnio.XnioExecutor;

/**
 * Relays the event stream of a generation: forwards each complete event as it arrives, resumes from
 * the backup on a second engine if the first one is lost, and moves the generation off an engine
 * that is leaving.
 */
final class StreamRelay
    implements CallerSink.Listener, EngineDispatchListener, GenerationMoves.Owner, StoppableCall {
  /**
   * Dispatches that could not be sent, or reached another upstream than intended, after which the
   * generation is refused.
   */
  private static final int MAX_UNSENT_DISPATCHES = 4;

  /**
   * How many times a generation may be resumed on another engine; if it is lost again, the call
   * fails.
   */
  private static final int MAX_RESUMES = 4;

  /** Interval at which the engine of a stream is checked: whether it is leaving or lost. */
  private static final Duration ENGINE_CHECK_INTERVAL = Duration.ofMillis(200);

  /** Events of a stream beyond one for each token, such as one that ends it. */
  private static final int MAX_EVENTS_WITHOUT_TOKENS = 64;

  private static final Duration RETRY_AFTER = Duration.ofMillis(200);

  private final GatewayContext context;
  private final GatewayCall call;
  private final MemoryNeed need;
  private final int maxEvents;
  private final CallerSink sink;
  private final GenerationAdmission admission;
  private final StreamProgress progress;
  private final GenerationMoves moves;
  private XnioExecutor.Key engineCheckTimer = () -> false;
  private StallDetector stallDetector;
  private EngineDispatch current;
  private int unsentDispatches;
  private int resumes;
  private boolean responseStarted;

  private StreamRelay(GatewayContext context, GatewayCall call, EngineSpec engine) {
    this.context = context;
    this.call = call;
    this.need = MemoryNeed.of(call.head().demand(), engine);
    this.maxEvents =
        call.head()
            .demand()
            .map(demand -> demand.maxOutputTokens() + MAX_EVENTS_WITHOUT_TOKENS)
            .orElse(Integer.MAX_VALUE);
    this.sink = new CallerSink(call.exchange(), context.clock(), this);
    this.admission =
        new GenerationAdmission(
            context,
            call,
            engine,
            need,
            (reservation, backup) -> send(reservation, backup, Optional.empty()));
    this.progress = new StreamProgress(context.clock());
    this.moves = new GenerationMoves(context, call, engine, need, this);
  }

  static void begin(GatewayContext context, GatewayCall call, EngineSpec engine) {
    StreamRelay relay = new StreamRelay(context, call, engine);
    call.limit(relay);
    call.watchCaller(relay::callerDisconnected);
    if (!call.hasEnded()) {
      context.retries().recordFirstAttempt(call.service().name());
      CallStart.unlessSuspended(context, call, relay.admission::begin);
    }
  }

  private void send(
      Reservation reservation, Optional<Reservation> backup, Optional<ResumePoint> resumedFrom) {
    current = EngineDispatch.open(context, call, reservation, backup, resumedFrom, this);
  }

  @Override
  public boolean mayHaveRun() {
    return current != null && current.isSent();
  }

  @Override
  public void end(CallEnd reason) {
    boolean mayHaveRun = mayHaveRun();
    call.giveUp(mayHaveRun, this::closeAll);
    if (responseStarted) {
      abort(reason.label());
    } else {
      call.fail(reason, mayHaveRun, RETRY_AFTER);
    }
  }

  private void closeAll() {
    engineCheckTimer.remove();
    moves.cancel();
    admission.cancel();
    if (current != null) {
      current.close();
    }
  }

  private void abort(String detail) {
    closeAll();
    if (call.markAborted(detail + " after " + progress.eventCount() + " events")) {
      sink.abort();
    }
  }

  @Override
  public void blocked() {
    current.suspend();
  }

  @Override
  public void drained() {
    current.resume();
  }

  @Override
  public void callerDisconnected() {
    call.giveUp(mayHaveRun() && !call.hasEnded(), this::closeAll);
    call.markCallerDisconnected();
  }

  @Override
  public void streamStarted(int status, HeaderMap headers) {
    if (responseStarted) {
      return;
    }
    responseStarted = true;
    progress.resetTimeSinceLastEvent();
    call.exchange().setStatusCode(status);
    HopByHopHeaders.copyEndToEnd(headers, call.exchange().getResponseHeaders());
    if (!call.exchange().isHttp10()) {
      // Without chunks, the end of a closing connection looks like the end of the stream.
      call.exchange().getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }
    if (!call.exchange().isPersistent()) {
      call.exchange().getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    stallDetector = new StallDetector(context.clock(), ENGINE_CHECK_INTERVAL);
    engineCheckTimer = call.io().every(ENGINE_CHECK_INTERVAL.toMillis(), this::checkEngine);
  }

  @Override
  public void event(String id, byte[] bytes) {
    if (current.isClosed()) {
      return;
    }
    if (progress.eventCount() >= maxEvents) {
      current.lost("more than " + maxEvents + " events");
      return;
    }
    if (progress.eventCount() == 0) {
      call.recordFirstEvent();
    }
    if (progress.recordIfNew(id)) {
      sink.append(bytes);
    }
  }

  @Override
  public void eventsRead() {
    if (progress.eventCount() > 0) {
      current.reservation().markPrefilled();
    }
    current.reservation().growTo(need.tokensAfterEvents(progress.eventCount()));
    sink.flush();
  }

  @Override
  public void notSent(EngineDispatch dispatch) {
    if (dispatch.isResumed()) {
      abort("the engine with the memory copy can't be reached");
      return;
    }
    admission.exclude(dispatch.reservation().upstream().id());
    unsentDispatches++;
    if (call.suspicion().isSuspended()) {
      call.fail(GatewayFailure.SUSPENDED, Optional.of(RETRY_AFTER), "");
    } else if (dispatch.wasMisdirected() && !call.tryAcquireRetry()) {
      call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_AFTER), "misdirected");
    } else if (unsentDispatches >= MAX_UNSENT_DISPATCHES) {
      call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_AFTER), "connect");
    } else {
      admission.begin();
    }
  }

  @Override
  public void refused(EngineDispatch dispatch, RefusedResponse response) {
    if (dispatch.isResumed()) {
      abort("the engine with the memory copy answered " + response.status());
    } else if (response.notExecuted()) {
      Duration retryAfter =
          context.selector().retryAfter(call.service().name()).orElse(RETRY_AFTER);
      call.fail(
          GatewayFailure.UPSTREAM_REFUSED, Optional.of(retryAfter), "status " + response.status());
    } else if (call.markAnswered(response.status(), "")) {
      call.exchange().setStatusCode(response.status());
      HopByHopHeaders.copyEndToEnd(response.headers(), call.exchange().getResponseHeaders());
      call.exchange().getResponseSender().send(response.body().asReadOnlyByteBuffer());
    }
  }

  @Override
  public void streamEnded(EngineDispatch dispatch) {
    closeAll();
    if (call.markAnswered(
        dispatch.status(), progress.eventCount() + " events, " + resumes + " resumes")) {
      sink.end();
    }
  }

  @Override
  public void lost(EngineDispatch dispatch, String detail) {
    if (moves.isStopping()) {
      return;
    }
    moves.cancel();
    if (call.hasEnded()) {
      dispatch.backup().ifPresent(Reservation::release);
      return;
    }
    context.health().recordFailure(dispatch.reservation().upstream().id());
    if (canResume(dispatch) && call.tryAcquireRetry()) {
      moves.resume(dispatch, detail);
      return;
    }
    dispatch.backup().ifPresent(Reservation::release);
    if (responseStarted) {
      abort(detail);
    } else {
      call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
    }
  }

  private boolean canResume(EngineDispatch dispatch) {
    return progress.eventCount() > 0
        && resumes < MAX_RESUMES
        && !call.suspicion().isSuspended()
        && !call.remaining().isNegative()
        && dispatch.hasUsableBackup();
  }

  @Override
  public void resumeAt(Reservation reservation, ResumePoint resumePoint, String cause) {
    resumes++;
    context.rateLimits().recordSent(reservation.upstream());
    call.logResume(reservation.upstream().id(), progress.lastEventId(), cause);
    progress.resetTimeSinceLastEvent();
    ResumePoint point = resumePoint.withLastEventId(progress.lastEventId());
    send(reservation, admission.reserveBackup(reservation.upstream()), Optional.of(point));
  }

  private void checkEngine() {
    boolean stalled = stallDetector.recordCheck();
    if (stalled) {
      // The events and announcements of that time are not read yet.
      progress.resetTimeSinceLastEvent();
    }
    if (progress.eventCount() > 0 && !call.hasEnded() && !current.isClosed()) {
      moves.moveIfLeaving(current);
      abandonIfStalled();
    }
  }

  /** Abandons a silent engine for the backup. Without one, waiting is all that can be done. */
  private void abandonIfStalled() {
    if (sink.isBlocked() || !canResume(current)) {
      return;
    }
    Duration sinceLastEvent = progress.sinceLastEvent();
    boolean engineIsSilent =
        context
            .selector()
            .isSilent(current.reservation().upstream(), EngineStall.SILENCE_THRESHOLD);
    if (EngineStall.isLost(sinceLastEvent, engineIsSilent)) {
      current.lost("no event for " + sinceLastEvent.toMillis() + " ms");
    }
  }

  @Override
  public void connectionLostDuringMove(String detail) {
    if (!call.hasEnded()) {
      abort("move failed: " + detail);
    }
  }
}
