package org.cuminrack.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Optional;
import org.cuminrack.relay.CallerSink;
import org.cuminrack.relay.CallerWatch;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.routing.EngineSpec;
import org.xnio.XnioExecutor;

/**
 * Carries a generation: passes each whole event on as it comes, goes on from the copy on a second
 * engine where the first one is lost, and moves away from an engine that leaves.
 */
final class StreamRelay
    implements CallerSink.Listener, EngineSending.Listener, GenerationMoves.Owner {
  private static final int MAX_CONNECT_FAILURES = 4;

  /** How often one generation goes on elsewhere before it counts as lost. */
  private static final int MAX_RESUMES = 4;

  private static final Duration WATCH_INTERVAL = Duration.ofMillis(200);
  private static final Duration RETRY_SOON = Duration.ofMillis(200);

  private final GatewayContext context;
  private final GatewayCall call;
  private final MemoryNeed need;
  private final CallerSink sink;
  private final PlaceWait places;
  private final StreamProgress progress;
  private final GenerationMoves moves;
  private XnioExecutor.Key watchTimer = () -> false;
  private EngineSending current;
  private int connectFailures;
  private int resumes;
  private boolean begun;

  private StreamRelay(GatewayContext context, GatewayCall call, EngineSpec engine) {
    this.context = context;
    this.call = call;
    this.need = MemoryNeed.of(call.head().demand(), engine);
    this.sink = new CallerSink(call.exchange(), context.clock(), this);
    this.places =
        new PlaceWait(
            context, call, engine, need, (place, copy) -> send(place, copy, Optional.empty()));
    this.progress = new StreamProgress(context.clock());
    this.moves = new GenerationMoves(context, call, engine, need, this);
  }

  static void begin(GatewayContext context, GatewayCall call, EngineSpec engine) {
    StreamRelay relay = new StreamRelay(context, call, engine);
    CallerWatch.begin(call.exchange(), relay::gone);
    call.atDeadline(relay::deadline);
    context.retries().countFirst(call.service().name());
    relay.places.begin();
  }

  private void send(
      Reservation place, Optional<Reservation> copy, Optional<ResumePoint> resumedFrom) {
    current = EngineSending.open(context, call, place, copy, resumedFrom, this);
  }

  private void deadline() {
    boolean mayHaveRun = current != null && current.isSent();
    closeAll();
    if (begun) {
      breakOff("deadline");
    } else if (mayHaveRun) {
      call.fail(GatewayFailure.TIMEOUT, Optional.empty(), "deadline");
    } else {
      call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_SOON), "deadline");
    }
  }

  private void closeAll() {
    watchTimer.remove();
    moves.cancel();
    places.cancel();
    if (current != null) {
      current.close();
    }
  }

  private void breakOff(String detail) {
    closeAll();
    if (call.brokenOff(detail + " after " + progress.events() + " events")) {
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
  public void gone() {
    closeAll();
    call.abandoned();
  }

  @Override
  public void streamBegan(int status, HeaderMap headers) {
    if (begun) {
      return;
    }
    begun = true;
    progress.touch();
    call.exchange().setStatusCode(status);
    HopByHopHeaders.copyOthers(headers, call.exchange().getResponseHeaders());
    if (!call.exchange().isPersistent()) {
      call.exchange().getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    watchTimer = call.io().every(WATCH_INTERVAL.toMillis(), this::watch);
  }

  @Override
  public void event(String id, byte[] bytes) {
    if (progress.events() == 0) {
      call.firstEvent();
    }
    if (progress.takes(id)) {
      sink.append(bytes);
    }
  }

  @Override
  public void eventsRead() {
    if (progress.events() > 0) {
      current.place().promptRead();
    }
    current.place().growTo(need.afterEvents(progress.events()));
    sink.flush();
  }

  @Override
  public void notSent(EngineSending sending) {
    if (sending.isResumed()) {
      breakOff("the copy's engine can't be reached");
      return;
    }
    places.exclude(sending.place().upstream().id());
    connectFailures++;
    if (connectFailures >= MAX_CONNECT_FAILURES) {
      call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_SOON), "connect");
    } else {
      places.begin();
    }
  }

  @Override
  public void refused(EngineSending sending, EngineSending.RefusedAnswer answer) {
    if (sending.isResumed()) {
      breakOff("the copy's engine answered " + answer.status());
    } else if (answer.notRun()) {
      call.fail(
          GatewayFailure.UPSTREAM_REFUSED, Optional.of(RETRY_SOON), "status " + answer.status());
    } else if (call.answered(answer.status(), "")) {
      call.exchange().setStatusCode(answer.status());
      HopByHopHeaders.copyOthers(answer.headers(), call.exchange().getResponseHeaders());
      call.exchange().getResponseSender().send(answer.body().asReadOnlyByteBuffer());
    }
  }

  @Override
  public void streamEnded(EngineSending sending) {
    closeAll();
    if (call.answered(sending.status(), progress.events() + " events, " + resumes + " resumes")) {
      sink.end();
    }
  }

  @Override
  public void lost(EngineSending sending, String detail) {
    if (moves.isStopping()) {
      return;
    }
    moves.cancel();
    context.health().failed(sending.place().upstream().id());
    if (mayResume(sending) && context.retries().allowsRepeat(call.service().name())) {
      moves.resume(sending, detail);
      return;
    }
    sending.copy().ifPresent(Reservation::release);
    if (begun) {
      breakOff(detail);
    } else {
      call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
    }
  }

  private boolean mayResume(EngineSending sending) {
    return progress.events() > 0
        && resumes < MAX_RESUMES
        && !call.left().isNegative()
        && sending.hasUsableCopy();
  }

  @Override
  public void goOn(Reservation place, ResumePoint from, String cause) {
    resumes++;
    call.resumed(place.upstream().id(), progress.lastEventId(), cause);
    progress.touch();
    ResumePoint point = from.after(progress.lastEventId());
    send(place, places.copyBeside(place.upstream()), Optional.of(point));
  }

  private void watch() {
    if (progress.events() > 0 && !call.isOver() && !current.isClosed()) {
      moves.moveIfLeaving(current);
      giveUpIfStalled();
    }
  }

  private void giveUpIfStalled() {
    if (sink.isBlocked()) {
      return;
    }
    Duration quiet = progress.quiet();
    boolean engineIsSilent =
        context.selector().isSilent(current.place().upstream(), EngineStall.SILENT_ENGINE);
    if (EngineStall.isLost(quiet, engineIsSilent)) {
      current.lost("no event for " + quiet.toMillis() + " ms");
    }
  }

  @Override
  public void notMoved(String detail) {
    if (!call.isOver() && current.isClosed()) {
      breakOff("not moved: " + detail);
    }
  }
}
