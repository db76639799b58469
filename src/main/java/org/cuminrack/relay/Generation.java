package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.http.Ran;
import org.xnio.XnioExecutor;

/**
 * One caller's exchange for a generation, from admission to the last token. Until a token has
 * reached the caller, a lost engine is made good by one attempt elsewhere; after that the answer is
 * of one generation, or ends with a typed error. Lives on the exchange's I/O thread.
 */
final class Generation implements EngineStreamListener, CallerStream.Listener {
  private static final int STATUS_UNAVAILABLE = 503;
  private static final long TICKS_A_SILENCE = 8;

  private final RelayContext context;
  private final CallerRequest caller;
  private final GenerationRequest request;
  private final IoContext io;
  private final GenerationAnswer answer;
  private final AdmissionClient admission;
  private XnioExecutor.Key ticker;
  private Dispatch dispatch;
  private EngineStream engine;
  private Ran ran = Ran.NO;
  private boolean resumed;
  private boolean ended;

  Generation(RelayContext context, CallerRequest caller, GenerationRequest request) {
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.io = IoContext.of(caller.exchange(), context.bounds());
    this.answer = new GenerationAnswer(context, caller, request, this);
    this.admission = new AdmissionClient(context, io, shape());
  }

  private AdmissionClient.Shape shape() {
    return new AdmissionClient.Shape(
        request.service(),
        request.organisation(),
        request.fingerprint(),
        PromptBlocks.of(request.prompt()),
        request.maxTokens(),
        request.priority(),
        request.deadlineNanos());
  }

  /** Begins a new generation. */
  void start() {
    startTicker();
    CallerWatch.begin(caller.exchange(), answer.stream()::abandoned);
    admission.ask(this::admitted);
  }

  /** Goes on with one that the caller has read a part of. */
  void goOn(EventId id) {
    resumed = true;
    ran = Ran.UNKNOWN;
    answer.goesOnAfter(id.index());
    startTicker();
    if (id.last()) {
      stop();
      answer.stream().endWhole();
      return;
    }
    CallerWatch.begin(caller.exchange(), answer.stream()::abandoned);
    EngineTarget target = new EngineTarget(id.upstream(), id.address(), id.bootId());
    context.running().add(target, request.fingerprint());
    engine = new EngineStream(target, io, context.clock(), context.counters(), this);
    engine.goOn(id.generation(), id.index());
  }

  private void startTicker() {
    long silenceMillis = context.bounds().silence().toMillis();
    ticker = io.every(Math.max(1, silenceMillis / TICKS_A_SILENCE), this::tick);
  }

  private void admitted(AdmissionOutcome outcome) {
    if (outcome instanceof AdmissionOutcome.Admitted admitted) {
      dispatch(admitted.ticket());
    } else if (outcome instanceof AdmissionOutcome.Refused refused) {
      refuse(refused.reason(), refused.retryAfter());
    }
  }

  private void dispatch(Ticket ticket) {
    dispatch = new Dispatch(context, ticket, request.fingerprint());
    if (ended) {
      dispatch.finish(Result.NOT_SENT, 0);
      return;
    }
    engine = new EngineStream(dispatch.target(), io, context.clock(), context.counters(), this);
    engine.begin(request, context.requestIds().next());
  }

  @Override
  public boolean maySend() {
    return dispatch.maySend();
  }

  @Override
  public void sent() {
    ran = Ran.UNKNOWN;
  }

  @Override
  public void notSent(NotSent reason) {
    boolean vetoed = reason == NotSent.VETOED;
    dispatch.finish(vetoed ? Result.NOT_SENT : Result.UNREACHABLE, 0);
    if (vetoed && !context.membership().hasFreshLease()) {
      refuse(RefusalReason.NO_LEASE, Duration.ZERO);
      return;
    }
    if (!vetoed) {
      admission.exclude(engine.target().upstream());
    }
    tryElsewhere("no connection to " + engine.target().upstream());
  }

  @Override
  public void late() {
    dispatch.finish(Result.CANCELLED, 0);
    if (context.membership().hasFreshLease()) {
      tryElsewhere("the ticket ran out");
    } else {
      refuse(RefusalReason.NO_LEASE, Duration.ZERO);
    }
  }

  @Override
  public void refused(int status, Duration retryAfter) {
    if (status == STATUS_UNAVAILABLE) {
      dispatch.finish(Result.OVERLOADED, 0);
      refuse(RefusalReason.OVERLOADED, retryAfter);
    } else {
      dispatch.finish(Result.LOST, 0);
      String detail = engine.target().upstream() + " answered with status " + status;
      end(context.refusals().upstreamFailed(detail, ran));
    }
  }

  @Override
  public void token(TokenData token, byte[] data) {
    if (dispatch != null) {
      dispatch.answerBegan();
    }
    answer.token(engine, token, data);
    if (token.finished()) {
      finish(Result.COMPLETED);
      answer.stream().endWhole();
    }
  }

  @Override
  public void turnEnded() {
    if (!ended && answer.tokens() > 0) {
      answer.stream().flush();
    }
  }

  @Override
  public void lost(EngineLoss loss) {
    if (loss == EngineLoss.PROCESS_DIED) {
      context
          .running()
          .died(engine.target(), request.fingerprint())
          .thenAccept(known -> io.execute(() -> lost(known)));
    } else {
      lost(true);
    }
  }

  /**
   * Answers a loss, once every entry knows of a crash; where that can't be said, nothing reruns.
   */
  private void lost(boolean crashIsKnown) {
    if (ended) {
      return;
    }
    if (dispatch != null) {
      dispatch.finish(Result.LOST, answer.tokens());
    }
    if (resumed || answer.tokens() > 0) {
      context.counters().add(RelayCounters.GENERATIONS_LOST);
      end(context.refusals().generationLost(answer.lastIndex()));
    } else if (crashIsKnown) {
      admission.exclude(engine.target().upstream());
      tryElsewhere(engine.target().upstream() + " was lost");
    } else {
      end(context.refusals().upstreamFailed(engine.target().upstream() + " was lost", ran));
    }
  }

  private void tryElsewhere(String detail) {
    engine = null;
    if (ended) {
      return;
    }
    if (admission.mayAskAgain()) {
      admission.ask(this::admitted);
    } else if (admission.remaining().isZero()) {
      end(context.refusals().timedOut(ran));
    } else {
      end(context.refusals().upstreamFailed(detail, ran));
    }
  }

  private void refuse(RefusalReason reason, Duration retryAfter) {
    if (!ended) {
      end(context.refusals().refused(reason, retryAfter, ran));
    }
  }

  private void tick() {
    if (ended && !answer.stream().isBlocked()) {
      ticker.remove();
      return;
    }
    boolean waiting = !resumed && answer.tokens() == 0 && engine != null;
    if (answer.stream().isBlocked()) {
      checkSlowCaller();
    } else if (waiting && admission.remaining().isZero()) {
      engine.cancel();
      end(context.refusals().timedOut(ran));
    } else if (engine != null) {
      engine.tick();
      answer.stream().heartbeat();
    }
  }

  private void checkSlowCaller() {
    if (answer.stream().isBlockedFor(context.bounds().slowCaller())) {
      context.counters().add(RelayCounters.SLOW_CALLERS);
      if (!ended) {
        engine.cancel();
      }
      finish(Result.CANCELLED);
      answer.stream().abort();
    }
  }

  @Override
  public void blocked() {
    if (!ended) {
      engine.suspend();
    }
  }

  @Override
  public void drained() {
    if (!ended) {
      engine.resume();
    }
  }

  @Override
  public void gone() {
    if (ended) {
      return;
    }
    context.counters().add(RelayCounters.CALLERS_GONE);
    stop();
    admission.cancel();
    if (engine != null) {
      engine.detach();
    }
    io.after(context.bounds().orphan().toMillis(), () -> release(Result.CANCELLED));
  }

  private void finish(Result result) {
    stop();
    release(result);
  }

  private void release(Result result) {
    if (dispatch != null) {
      dispatch.finish(result, answer.tokens());
    } else if (resumed && engine != null) {
      context.running().remove(engine.target(), request.fingerprint());
    }
  }

  private void end(ProblemDocument problem) {
    stop();
    release(Result.CANCELLED);
    answer.end(problem);
  }

  private void stop() {
    ended = true;
  }
}
