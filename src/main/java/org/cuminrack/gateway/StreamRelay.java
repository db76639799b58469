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
final class StreamRelay implements CallerSink.Listener, EngineSending.Listener {
  private static final int MAX_CONNECT_FAILURES = 4;

  /** How often one generation goes on elsewhere before it counts as lost. */
  private static final int MAX_RESUMES = 4;

  /** How often a generation is moved away before its engine's end is waited for. */
  private static final int MAX_MOVES = 3;

  private static final Duration WATCH_INTERVAL = Duration.ofMillis(200);
  private static final Duration RETRY_SOON = Duration.ofMillis(200);

  private final GatewayContext context;
  private final GatewayCall call;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final CallerSink sink;
  private final PlaceWait places;
  private final StreamProgress progress;
  private XnioExecutor.Key watchTimer = () -> false;
  private EngineSending current;
  private Optional<MemoryMove> move = Optional.empty();
  private int connectFailures;
  private int resumes;
  private int movesTried;
  private boolean begun;

  private StreamRelay(GatewayContext context, GatewayCall call, EngineSpec engine) {
    this.context = context;
    this.call = call;
    this.engine = engine;
    this.need = MemoryNeed.of(call.head().demand(), engine);
    this.sink = new CallerSink(call.exchange(), context.clock(), this);
    this.places =
        new PlaceWait(
            context, call, engine, need, (place, copy) -> send(place, copy, Optional.empty()));
    this.progress = new StreamProgress(context.clock());
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
    cancelMove();
    places.cancel();
    if (current != null) {
      current.close();
    }
  }

  private void cancelMove() {
    move.ifPresent(MemoryMove::cancel);
    move = Optional.empty();
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
    if (move.filter(MemoryMove::isStopping).isPresent()) {
      // The move has stopped the generation here; its end tells how to go on.
      return;
    }
    cancelMove();
    context.health().failed(sending.place().upstream().id());
    if (mayResume(sending) && context.retries().allowsRepeat(call.service().name())) {
      Reservation copy = sending.copy().get();
      String copyName = call.head().attemptId();
      goOn(copy, new ResumePoint(copy.upstream().address(), copyName, ""), detail);
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

  private void goOn(Reservation place, ResumePoint from, String cause) {
    resumes++;
    call.resumed(place.upstream().id(), progress.lastEventId(), cause);
    progress.touch();
    ResumePoint point = from.after(progress.lastEventId());
    send(place, places.copyBeside(place.upstream()), Optional.of(point));
  }

  private void watch() {
    if (progress.events() > 0 && !call.isOver() && !current.isClosed()) {
      moveIfLeaving();
      giveUpIfStalled();
    }
  }

  /** Moves the generation away from an engine that ends soon, where no copy will outlive it. */
  private void moveIfLeaving() {
    boolean due =
        move.isEmpty()
            && movesTried < MAX_MOVES
            && engine.movesMemory()
            && context.selector().isLeaving(current.place().upstream())
            && !current.hasUsableCopy();
    if (!due) {
      return;
    }
    context
        .selector()
        .move(call.service().name(), engine, need, current.place().upstream())
        .ifPresent(this::beginMove);
  }

  private void beginMove(Reservation target) {
    movesTried++;
    move =
        Optional.of(
            MemoryMove.begin(
                context.engineCalls(),
                call.io(),
                current.place().upstream().address(),
                call.head().attemptId(),
                target,
                new MoveListener()));
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

  /** Goes on at the other engine, or stays. */
  private final class MoveListener implements MemoryMove.Listener {
    @Override
    public void moved(Reservation target, ResumePoint from) {
      move = Optional.empty();
      if (call.isOver()) {
        target.release();
        return;
      }
      current.close();
      goOn(target, from, "the engine is leaving");
    }

    @Override
    public void failed(String detail) {
      move = Optional.empty();
      if (!call.isOver() && current.isClosed()) {
        breakOff("not moved: " + detail);
      }
    }
  }
}
