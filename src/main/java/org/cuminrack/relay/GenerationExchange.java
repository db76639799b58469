package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ProblemDocument;
import org.xnio.XnioExecutor;

/**
 * A caller's exchange for a generation: hands the engine's tokens on at the pace that the caller
 * takes them, until one of the two ends it. Lives on the exchange's I/O thread.
 */
abstract class GenerationExchange implements EngineStreamListener, CallerSink.Listener {
  private static final long TICKS_A_SILENCE = 8;

  private final RelayContext context;
  private final GenerationRequest request;
  private final CallerRequest caller;
  private final IoContext io;
  private final GenerationAnswer answer;
  private XnioExecutor.Key ticker;
  private EngineStream engine;
  private boolean ended;

  GenerationExchange(RelayContext context, CallerRequest caller, GenerationRequest request) {
    this.context = context;
    this.request = request;
    this.caller = caller;
    this.io = IoContext.of(caller.exchange(), context.bounds());
    this.answer = new GenerationAnswer(context, caller, request, this);
  }

  RelayContext context() {
    return context;
  }

  GenerationRequest request() {
    return request;
  }

  IoContext io() {
    return io;
  }

  GenerationAnswer answer() {
    return answer;
  }

  /** Returns the engine's side; null while there is none. */
  EngineStream engine() {
    return engine;
  }

  boolean isEnded() {
    return ended;
  }

  /** Gives back what the exchange holds of the engine; a second call does nothing. */
  abstract void release(Result result);

  /** Answers a loss; where a crash is not known to every entry, nothing may run again. */
  abstract void answerLoss(boolean crashIsKnown);

  /** Leaves whatever queue the exchange waits in. */
  void leaveQueue() {}

  /** Tells whether the time in which the answer must begin is over. */
  boolean isOverdue() {
    return false;
  }

  /** Begins to watch the caller and the clock. */
  void watch() {
    long silenceMillis = context.bounds().silence().toMillis();
    ticker = io.every(Math.max(1, silenceMillis / TICKS_A_SILENCE), this::tick);
    CallerWatch.begin(caller.exchange(), answer.stream()::abandoned);
  }

  /** Takes an engine on. */
  EngineStream open(EngineTarget target) {
    engine = new EngineStream(target, io, context.clock(), context.counters(), this);
    return engine;
  }

  /** Lets go of an engine that has failed. */
  void forgetEngine() {
    engine = null;
  }

  @Override
  public void token(TokenData token, byte[] data) {
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
    context
        .running()
        .settle(loss, engine.target(), request.fingerprint())
        .thenAccept(known -> io.execute(() -> answerLossUnlessEnded(known)));
  }

  private void answerLossUnlessEnded(boolean crashIsKnown) {
    if (!ended) {
      answerLoss(crashIsKnown);
    }
  }

  private void tick() {
    if (answer.stream().isBlocked()) {
      checkSlowCaller();
    } else if (ended) {
      ticker.remove();
    } else if (engine != null && isOverdue()) {
      engine.cancel();
      endOverdue();
    } else if (engine != null) {
      engine.tick();
      answer.stream().heartbeat();
    }
  }

  /** Answers a caller whose time is over. */
  void endOverdue() {}

  private void checkSlowCaller() {
    Duration bound = context.bounds().slowCaller();
    if (answer.stream().isBlockedFor(bound)) {
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
    ended = true;
    leaveQueue();
    if (engine != null) {
      engine.detach();
    }
    io.after(context.bounds().orphan().toMillis(), () -> release(Result.CANCELLED));
  }

  /** Ends with a problem. */
  void end(ProblemDocument problem) {
    finish(Result.CANCELLED);
    answer.end(problem);
  }

  /** Ends the exchange's work; what is left is to send what the caller has not taken. */
  void finish(Result result) {
    ended = true;
    release(result);
  }
}
