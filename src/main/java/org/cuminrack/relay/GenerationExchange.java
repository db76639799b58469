package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ProblemDocument;
import org.xnio.XnioExecutor;

/**
 * A caller's exchange for a generation: relays the engine's tokens at the rate at which the caller
 * reads them, until the generation ends or either side is lost. Confined to the exchange's I/O
 * thread.
 */
abstract class GenerationExchange implements EngineStreamListener, CallerSink.Listener {
  private static final long CHECKS_PER_SILENCE_TIMEOUT = 8;

  private final RelayContext context;
  private final GenerationRequest request;
  private final CallerRequest caller;
  private final IoContext io;
  private final GenerationResponse response;
  private XnioExecutor.Key progressTimer;
  private EngineStream engineStream;
  private Runnable callerCheck = () -> {};
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

  /** Returns the stream from the engine, or null if there is none. */
  EngineStream engineStream() {
    return engineStream;
  }

  boolean isEnded() {
    return ended;
  }

  /**
   * Returns the ticket, if there is one, and stops tracking the request as running; later calls
   * have no effect.
   */
  abstract void release(Result result);

  /**
   * Handles the loss of the engine or of its generation.
   *
   * @param safeToRetry false if the engine crashed and not every entry is known to have the report
   */
  abstract void handleLoss(boolean safeToRetry);

  /** Cancels a pending admission request, if there is one. */
  void leaveAdmissionQueue() {}

  /** Returns whether the deadline has passed before the response started. */
  boolean isPastDeadline() {
    return false;
  }

  /** Starts checking timeouts and watching for a disconnect of the caller. */
  void startMonitoring() {
    long silenceMillis = context.bounds().silenceTimeout().toMillis();
    progressTimer =
        io.every(Math.max(1, silenceMillis / CHECKS_PER_SILENCE_TIMEOUT), this::checkProgress);
    callerCheck = DisconnectWatcher.begin(caller.exchange(), response.stream()::callerDisconnected);
  }

  /** Returns whether the caller still waits, as far as its connection tells. */
  boolean isCallerPresent() {
    callerCheck.run();
    return !ended;
  }

  /** Creates the stream from an engine without connecting to it. */
  EngineStream createEngineStream(UpstreamProcess target) {
    engineStream = new EngineStream(target, io, context.clock(), context.counters(), this);
    return engineStream;
  }

  /** Clears the stream of an engine that has failed. */
  void clearEngineStream() {
    engineStream = null;
  }

  @Override
  public void token(TokenEvent token, byte[] data) {
    response.addToken(engineStream, token, data);
    if (token.isLastToken()) {
      finish(Result.COMPLETED);
      response.stream().endSuccessfully();
    }
  }

  @Override
  public void readCompleted() {
    if (!ended && response.tokenCount() > 0) {
      response.stream().flush();
    }
  }

  @Override
  public void lost(UpstreamLoss loss) {
    context
        .runningRequests()
        .reportIfCrashed(loss, engineStream.target(), request.fingerprint())
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
      progressTimer.remove();
    } else if (engineStream != null && isPastDeadline()) {
      engineStream.cancel();
      endTimedOut();
    } else if (engineStream != null) {
      engineStream.checkTimeouts();
      response.stream().sendHeartbeatIfIdle();
    }
  }

  /** Sends the response for a deadline that has passed; see {@link #isPastDeadline}. */
  void endTimedOut() {}

  private void checkSlowCaller() {
    Duration limit = context.bounds().unreadDataTimeout();
    if (response.stream().isBlockedFor(limit)) {
      progressTimer.remove();
      context.counters().add(RelayCounters.SLOW_CALLERS);
      if (!ended) {
        engineStream.cancel();
      }
      finish(Result.CANCELLED);
      response.stream().abort();
    }
  }

  @Override
  public void blocked() {
    if (!ended) {
      engineStream.suspend();
    }
  }

  @Override
  public void drained() {
    if (!ended) {
      engineStream.resume();
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
    if (engineStream != null) {
      engineStream.detach();
    }
    io.after(context.bounds().abandonedTicketTimeout().toMillis(), () -> release(Result.CANCELLED));
  }

  /** Ends the exchange with a problem document. */
  void endWithProblem(ProblemDocument problem) {
    finish(Result.CANCELLED);
    response.endWithProblem(problem);
  }

  /** Ends the exchange and returns its ticket; buffered data is still sent to the caller. */
  void finish(Result result) {
    ended = true;
    release(result);
  }
}
