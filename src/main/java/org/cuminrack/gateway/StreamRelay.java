package org.cuminrack.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.log.LogEvent;
import org.cuminrack.relay.CallerSink;
import org.cuminrack.relay.CallerWatch;
import org.cuminrack.relay.HopByHopHeaders;
import org.cuminrack.relay.NotSent;
import org.cuminrack.relay.UpstreamExchange;
import org.cuminrack.relay.UpstreamListener;
import org.cuminrack.routing.EngineSpec;
import org.xnio.XnioExecutor;

/**
 * Carries a generation: waits for engine memory, passes each whole event on as it comes, and goes
 * on from the copy on a second engine where the first one is lost.
 */
final class StreamRelay implements CallerSink.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int STATUS_OK = 200;
  private static final int STATUS_REDIRECT = 300;
  private static final int MAX_EVENT_BYTES = 64 << 10;
  private static final int MAX_CONNECT_FAILURES = 4;

  /** How often one generation goes on elsewhere before it counts as lost. */
  private static final int MAX_RESUMES = 4;

  /** How often a generation is moved away before its engine's end is waited for. */
  private static final int MAX_MOVES = 3;

  /** An engine that brings no event for so long, after the first, counts as lost. */
  private static final Duration STALL = Duration.ofMillis(1200);

  private static final Duration STALL_CHECK = Duration.ofMillis(200);

  /** Part of the target that a generation may wait for memory; the rest is for its prompt. */
  private static final double QUEUE_SHARE_OF_TARGET = 0.65;

  /** Engines free memory within seconds; sooner would only be refused again. */
  private static final Duration RETRY_WHEN_FULL = Duration.ofMillis(1500);

  private static final Duration RETRY_SOON = Duration.ofMillis(200);

  private final GatewayContext context;
  private final GatewayCall call;
  private final EngineSpec engine;
  private final MemoryNeed need;
  private final CallerSink sink;
  private final Set<String> tried = new HashSet<>();
  private Optional<Runnable> leaveQueue = Optional.empty();
  private XnioExecutor.Key stallTimer = () -> false;
  private Sending current;
  private int connectFailures;
  private int resumes;
  private boolean begun;
  private String lastEventId = "";
  private int events;
  private long lastEventNanos;
  private Optional<MemoryMove> move = Optional.empty();
  private int movesTried;

  private StreamRelay(GatewayContext context, GatewayCall call, EngineSpec engine) {
    this.context = context;
    this.call = call;
    this.engine = engine;
    this.need = MemoryNeed.of(call.head().demand(), engine);
    this.sink = new CallerSink(call.exchange(), context.clock(), this);
  }

  static void begin(GatewayContext context, GatewayCall call, EngineSpec engine) {
    StreamRelay relay = new StreamRelay(context, call, engine);
    CallerWatch.begin(call.exchange(), relay::gone);
    call.atDeadline(relay::deadline);
    context.retries().countFirst(call.service().name());
    relay.enterQueue();
  }

  private void enterQueue() {
    boolean mayComeSoon = context.view().isYoung(context.clock().nanoTime());
    if (!mayComeSoon && !context.selector().hasUpstreams(call.service().name())) {
      call.fail(GatewayFailure.NO_UPSTREAM, Optional.of(RETRY_SOON), "");
      return;
    }
    leaveQueue = context.queue().enter(call.priority(), this::tryReserve);
    if (leaveQueue.isPresent()) {
      long waitMillis =
          (long) (call.route().targetLatency().toMillis() * QUEUE_SHARE_OF_TARGET)
              - call.age().toMillis();
      call.io().after(Math.max(0, waitMillis), this::waitIsOver);
    }
  }

  /** Called under the queue's lock, on any thread. */
  private boolean tryReserve() {
    Optional<Reservation> place =
        context.selector().generation(call.service().name(), engine, need, tried);
    place.ifPresent(each -> call.io().execute(() -> placed(each)));
    return place.isPresent();
  }

  private void placed(Reservation place) {
    leaveQueue = Optional.empty();
    if (call.isOver()) {
      place.release();
      return;
    }
    Optional<Reservation> copy = backupFor(place.upstream());
    UpstreamLoad load = place.loadBefore();
    logger.atInfo().log(
        "%s",
        LogEvent.named("request-placed")
            .with("request", call.head().attemptId())
            .with("upstream", place.upstream().id())
            .with("announced_ms", place.upstream().age(context.clock().nanoTime()).toMillis())
            .with("running", load.requests())
            .with("reserved_tokens", load.reservedTokens())
            .with("unread_tokens", load.unreadPromptTokens())
            .with("needed_tokens", need.expectedTokens())
            .with("copy", copy.map(each -> each.upstream().id()).orElse("none"))
            .with("queued_ms", call.age().toMillis()));
    current = new Sending(place, copy, Optional.empty());
    current.open();
  }

  private Optional<Reservation> backupFor(UpstreamRecord upstream) {
    if (!engine.keepsBackups() || !need.isWorthBackup()) {
      return Optional.empty();
    }
    return context.selector().backup(call.service().name(), engine, need, upstream.id());
  }

  private void waitIsOver() {
    if (leaveQueue.isPresent() && !call.isOver()) {
      leaveQueue.get().run();
      leaveQueue = Optional.empty();
      call.fail(GatewayFailure.OVERLOADED, Optional.of(RETRY_WHEN_FULL), "no engine memory");
    }
  }

  private void deadline() {
    boolean mayHaveRun = current != null && current.sent;
    closeCurrent();
    if (begun) {
      breakOff("deadline");
    } else if (mayHaveRun) {
      call.fail(GatewayFailure.TIMEOUT, Optional.empty(), "deadline");
    } else {
      call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_SOON), "deadline");
    }
  }

  private void closeCurrent() {
    stallTimer.remove();
    move.ifPresent(MemoryMove::cancel);
    move = Optional.empty();
    leaveQueue.ifPresent(Runnable::run);
    leaveQueue = Optional.empty();
    if (current != null) {
      current.close();
    }
  }

  private void breakOff(String detail) {
    closeCurrent();
    if (call.brokenOff(detail + " after " + events + " events")) {
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
    closeCurrent();
    call.abandoned();
  }

  private void event(String id, byte[] bytes) {
    if (events == 0) {
      call.firstEvent();
    }
    if (!id.isEmpty()) {
      if (!lastEventId.isEmpty() && !EventOrder.isAfter(id, lastEventId)) {
        return;
      }
      lastEventId = id;
    }
    events++;
    lastEventNanos = context.clock().nanoTime();
    sink.append(bytes);
  }

  private void watch() {
    if (begun && events > 0 && !call.isOver()) {
      moveIfLeaving();
      checkStall();
    }
  }

  /** Moves the generation away from an engine that ends soon, where no copy will outlive it. */
  private void moveIfLeaving() {
    boolean due =
        move.isEmpty()
            && movesTried < MAX_MOVES
            && engine.movesMemory()
            && !current.closed
            && context.selector().isLeaving(current.place.upstream())
            && !current.hasUsableCopy();
    if (!due) {
      return;
    }
    Optional<Reservation> target =
        context.selector().move(call.service().name(), engine, need, current.place.upstream());
    if (target.isPresent()) {
      movesTried++;
      move =
          Optional.of(
              MemoryMove.begin(
                  context.engineCalls(),
                  call.io(),
                  current.place.upstream().address(),
                  call.head().attemptId(),
                  target.get(),
                  new MoveListener()));
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
      resume(target, from, "the engine is leaving");
    }

    @Override
    public void failed(String detail) {
      move = Optional.empty();
      if (!call.isOver() && current.closed) {
        breakOff("not moved: " + detail);
      }
    }
  }

  private void checkStall() {
    Duration quiet = Duration.ofNanos(context.clock().nanoTime() - lastEventNanos);
    boolean waiting = !sink.isBlocked() && !current.closed;
    if (waiting && quiet.compareTo(STALL) > 0) {
      current.lost("no event for " + quiet.toMillis() + " ms");
    }
  }

  private void resume(Reservation copy, ResumePoint from, String detail) {
    resumes++;
    logger.atInfo().log(
        "%s",
        LogEvent.named("stream-resumed")
            .with("request", call.head().attemptId())
            .with("upstream", copy.upstream().id())
            .with("after_event", lastEventId)
            .with("cause", detail));
    context.counters().add(GatewayCounters.Kind.RESUMED_STREAMS);
    lastEventNanos = context.clock().nanoTime();
    Optional<ResumePoint> point = Optional.of(from.after(lastEventId));
    current = new Sending(copy, backupFor(copy.upstream()), point);
    current.open();
  }

  /** One sending of the generation to one engine. */
  private final class Sending implements UpstreamListener {
    private final Reservation place;
    private final Optional<Reservation> copy;
    private final Optional<ResumePoint> resumedFrom;
    private final EventSplitter splitter =
        new EventSplitter(MAX_EVENT_BYTES, StreamRelay.this::event);
    private final ByteString.Output refusal = ByteString.newOutput();
    private UpstreamExchange exchange;
    private AnswerHead answer;
    private HeaderMap headers;
    private int status;
    private boolean sent;
    private boolean closed;

    Sending(Reservation place, Optional<Reservation> copy, Optional<ResumePoint> resumedFrom) {
      this.place = place;
      this.copy = copy;
      this.resumedFrom = resumedFrom;
    }

    void open() {
      Optional<String> backupAddress = copy.map(each -> each.upstream().address());
      exchange = call.io().open(call.requestTo(place.upstream(), backupAddress, resumedFrom), this);
    }

    void suspend() {
      exchange.suspend();
    }

    void resume() {
      exchange.resume();
    }

    void close() {
      closeExchange();
      copy.ifPresent(Reservation::release);
      context.queue().retry();
    }

    private void closeExchange() {
      closed = true;
      if (exchange != null) {
        exchange.close();
      }
      place.release();
    }

    @Override
    public boolean maySend() {
      sent = context.selector().takesRequests(place.upstream());
      return sent;
    }

    @Override
    public void notSent(NotSent reason) {
      sent = false;
      if (reason != NotSent.VETOED) {
        context.health().failed(place.upstream().id());
      }
      close();
      if (resumedFrom.isPresent()) {
        breakOff("the copy's engine can't be reached");
        return;
      }
      tried.add(place.upstream().id());
      connectFailures++;
      if (connectFailures >= MAX_CONNECT_FAILURES) {
        call.fail(GatewayFailure.NOT_SENT, Optional.of(RETRY_SOON), "connect");
      } else {
        enterQueue();
      }
    }

    @Override
    public void answered(int answerStatus, HeaderMap answerHeaders) {
      status = answerStatus;
      headers = answerHeaders;
      answer = context.headers().readAnswer(answerStatus, answerHeaders, call.head().attemptId());
      if (!answer.belongs()) {
        lost("an answer to another request");
      } else if (isStream() && !begun) {
        beginAnswer();
      }
    }

    private boolean isStream() {
      return status >= STATUS_OK && status < STATUS_REDIRECT;
    }

    private void beginAnswer() {
      begun = true;
      lastEventNanos = context.clock().nanoTime();
      call.exchange().setStatusCode(status);
      HopByHopHeaders.copyOthers(headers, call.exchange().getResponseHeaders());
      if (!call.exchange().isPersistent()) {
        call.exchange().getResponseHeaders().put(Headers.CONNECTION, "close");
      }
      stallTimer = call.io().every(STALL_CHECK.toMillis(), StreamRelay.this::watch);
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (!isStream()) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        refusal.write(part, 0, part.length);
        return;
      }
      Optional<String> error = splitter.feed(bytes);
      if (events > 0) {
        place.promptRead();
      }
      place.growTo(need.afterEvents(events));
      if (error.isPresent()) {
        lost(error.get());
      } else {
        sink.flush();
      }
    }

    @Override
    public void completed() {
      if (isStream()) {
        streamCompleted();
        return;
      }
      close();
      if (resumedFrom.isPresent()) {
        breakOff("the copy's engine answered " + status);
      } else if (answer.otherUpstream()) {
        notSent(NotSent.VETOED);
      } else if (answer.notRun()) {
        call.fail(GatewayFailure.UPSTREAM_REFUSED, Optional.of(RETRY_SOON), "status " + status);
      } else if (call.answered(status, "")) {
        call.exchange().setStatusCode(status);
        HopByHopHeaders.copyOthers(headers, call.exchange().getResponseHeaders());
        call.exchange().getResponseSender().send(refusal.toByteString().asReadOnlyByteBuffer());
      }
    }

    private void streamCompleted() {
      if (splitter.isInsideEvent()) {
        lost("the stream ended inside an event");
        return;
      }
      context.health().succeeded(place.upstream().id());
      closeCurrent();
      if (call.answered(status, events + " events, " + resumes + " resumes")) {
        sink.end();
      }
    }

    @Override
    public void broken(String detail) {
      lost(detail);
    }

    private boolean mayResume() {
      return events > 0 && resumes < MAX_RESUMES && !call.left().isNegative() && hasUsableCopy();
    }

    private boolean hasUsableCopy() {
      return copy.filter(each -> context.selector().takesRequests(each.upstream())).isPresent();
    }

    /** The engine or the way to it is lost; the generation goes on from its copy, if it has one. */
    void lost(String detail) {
      if (closed) {
        return;
      }
      closeExchange();
      if (move.filter(MemoryMove::isStopping).isPresent()) {
        // The move has stopped the generation here; its end tells how to go on.
        return;
      }
      move.ifPresent(MemoryMove::cancel);
      move = Optional.empty();
      context.health().failed(place.upstream().id());
      if (mayResume() && context.retries().allowsRepeat(call.service().name())) {
        Reservation held = copy.get();
        String copyName = call.head().attemptId();
        StreamRelay.this.resume(
            held, new ResumePoint(held.upstream().address(), copyName, ""), detail);
        return;
      }
      copy.ifPresent(Reservation::release);
      if (begun) {
        breakOff(detail);
      } else {
        call.fail(GatewayFailure.UPSTREAM_LOST, Optional.empty(), detail);
      }
    }
  }
}
