package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ProblemDocument;
import org.xnio.XnioExecutor;

/**
 * A caller's exchange for a generation: relays the engine's tokens at the rate at which the caller
 * reads them, until either side ends it. Confined to the exchange's I/O thread.
 */
abstract class GenerationExchange implements EngineStreamListener, CallerSink.Listener {
  private static final long CHECKS_PER_SILENCE_TIMEOUT = 8;

  private final RelayContext context;
  private final GenerationRequest request;
  private final CallerRequest caller;
  private final IoContext io;
  private final GenerationResponse response;
  private XnioExecutor.Key timer;
  private EngineStream engine;
  private boolean ended;

  GenerationExchange(RelayContext context, CallerRequest caller, GenerationRequest request) {
    this.context = context;
    this.request = request;
    this.caller = caller;
    this.io = IoContext.of(caller.exchange(), context.bounds());
    this.response = new GenerationResponse(context, caller, request, this);
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

  GenerationResponse response() {
    return response;
  }

  /** Returns the stream from the engine; null if there is none. */
  EngineStream engine() {
    return engine;
  }

  boolean isEnded() {
    return ended;
  }

  /** Releases what the exchange holds on the engine; later calls have no effect. */
  abstract void release(Result result);

  /**
   * Handles the loss of the engine.
   *
   * @param safeToRetry false if the engine crashed and not every entry could be informed
   */
  abstract void handleLoss(boolean safeToRetry);

  /** Cancels a pending admission request, if there is one. */
  void leaveAdmissionQueue() {}

  /** Returns whether the deadline has passed before the response started. */
  boolean isPastDeadline() {
    return false;
  }

  /** Starts to monitor timeouts and the connection of the caller. */
  void startMonitoring() {
    long silenceMillis = context.bounds().silenceTimeout().toMillis();
    timer = io.every(Math.max(1, silenceMillis / CHECKS_PER_SILENCE_TIMEOUT), this::checkProgress);
    DisconnectWatcher.begin(caller.exchange(), response.stream()::callerDisconnected);
  }

  /** Creates the stream from an engine. */
  EngineStream open(UpstreamProcess target) {
    engine = new EngineStream(target, io, context.clock(), context.counters(), this);
    return engine;
  }

  /** Clears the stream of an engine that has failed. */
  void clearEngineStream() {
    engine = null;
  }

  @Override
  public void token(TokenEvent token, byte[] data) {
    response.addToken(engine, token, data);
    if (token.isLastToken()) {
      finish(Result.COMPLETED);
      response.stream().endSuccessfully();
    }
  }

  @Override
  public void readCompleted() {
    if (!ended && response.tokens() > 0) {
      response.stream().flush();
    }
  }

  @Override
  public void lost(UpstreamLoss loss) {
    context
        .running()
        .reportIfCrashed(loss, engine.target(), request.fingerprint())
        .thenAccept(safeToRetry -> io.execute(() -> handleLossUnlessEnded(safeToRetry)));
  }

  private void handleLossUnlessEnded(boolean safeToRetry) {
    if (!ended) {
      handleLoss(safeToRetry);
    }
  }

  private void checkProgress() {
    if (response.stream().isBlocked()) {
      checkSlowCaller();
    } else if (ended) {
      timer.remove();
    } else if (engine != null && isPastDeadline()) {
      engine.cancel();
      endTimedOut();
    } else if (engine != null) {
      engine.checkTimeouts();
      response.stream().heartbeat();
    }
  }

  /** Responds to a caller whose deadline has passed. */
  void endTimedOut() {}

  private void checkSlowCaller() {
    Duration limit = context.bounds().unreadDataTimeout();
    if (response.stream().isBlockedFor(limit)) {
      context.counters().add(RelayCounters.SLOW_CALLERS);
      if (!ended) {
        engine.cancel();
      }
      finish(Result.CANCELLED);
      response.stream().abort();
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
  public void callerDisconnected() {
    if (ended) {
      return;
    }
    context.counters().add(RelayCounters.CALLERS_GONE);
    ended = true;
    leaveAdmissionQueue();
    if (engine != null) {
      engine.detach();
    }
    io.after(context.bounds().abandonedTicketHold().toMillis(), () -> release(Result.CANCELLED));
  }

  /** Ends the exchange with a problem document. */
  void endWithProblem(ProblemDocument problem) {
    finish(Result.CANCELLED);
    response.endWithProblem(problem);
  }

  /** Marks the exchange as ended; buffered data is still sent to the caller. */
  void finish(Result result) {
    ended = true;
    release(result);
  }
}
