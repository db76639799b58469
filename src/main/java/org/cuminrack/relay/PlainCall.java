package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ExecutionStatus;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.ledger.CallKey;
import org.cuminrack.ledger.CallResult;
import org.cuminrack.ledger.ClaimVerdict;

/**
 * One caller's plain call. An idempotent call is retried on a second upstream if the first fails.
 * Any other call runs at most once: it is claimed in the ledger before its first byte is sent. Once
 * a byte of such a call may have been sent, the call is never sent again: the ledger records its
 * response or an unknown outcome, and the call continues even if the caller disconnects. Confined
 * to the exchange's I/O thread.
 */
final class PlainCall implements PlainExchange.Listener {
  private final RelayContext context;
  private final CallerRequest caller;
  private final PlainRequest request;
  private final IoContext io;
  private final AdmissionClient admission;
  private final CallClaim claim;
  private final CallResponse callerResponse;
  private final CallTimers timers;
  private Dispatch dispatch;
  private PlainExchange exchange;
  private ExecutionStatus executionStatus = ExecutionStatus.NO;
  private Runnable callerCheck = () -> {};
  private boolean ended;

  private PlainCall(RelayContext context, CallerRequest caller, PlainRequest request, CallKey key) {
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.io = IoContext.of(caller.exchange(), context.bounds());
    this.admission = new AdmissionClient(context, io, request.admissionParameters());
    this.claim = key == null ? null : new CallClaim(context, io, request, key);
    this.timers = new CallTimers(io);
    this.callerResponse = new CallResponse(context, caller, io, request);
  }

  /** Returns a call that may be sent more than once. */
  static PlainCall idempotent(RelayContext context, CallerRequest caller, PlainRequest request) {
    return new PlainCall(context, caller, request, null);
  }

  /** Returns a call that may run at most once under its key. */
  static PlainCall atMostOnce(
      RelayContext context, CallerRequest caller, PlainRequest request, CallKey key) {
    return new PlainCall(context, caller, request, key);
  }

  private boolean isAtMostOnce() {
    return claim != null;
  }

  void start() {
    if (isAtMostOnce()) {
      claim.acquire(admission.remainingTime(), this::claimed);
    } else {
      callerCheck = DisconnectWatcher.begin(caller.exchange(), this::callerDisconnected);
      if (!ended) {
        requestTicket();
      }
    }
  }

  /** Cancels an idempotent call whose caller has disconnected. */
  private void callerDisconnected() {
    if (ended) {
      return;
    }
    context.counters().add(RelayCounters.CALLERS_GONE);
    admission.cancel();
    if (exchange != null) {
      exchange.close();
      dispatch.finish(Result.CANCELLED, 0);
    }
    complete(new CallResult.Unknown(), callerResponse::drop);
  }

  private void claimed(ClaimVerdict verdict) {
    Problems problems = context.problems();
    if (verdict instanceof ClaimVerdict.Granted) {
      requestTicket();
    } else if (verdict instanceof ClaimVerdict.Done done) {
      callerResponse.send(PlainResponse.of(done.response()));
    } else if (verdict instanceof ClaimVerdict.InProgress inProgress) {
      callerResponse.send(problems.inProgress(inProgress.retryAfter()));
    } else if (verdict instanceof ClaimVerdict.KeyReused) {
      callerResponse.send(problems.idempotencyKeyReused());
    } else if (verdict instanceof ClaimVerdict.Unavailable unavailable) {
      callerResponse.send(problems.ledgerUnavailable(unavailable.retryAfter()));
    } else {
      callerResponse.send(problems.outcomeUnknown());
    }
  }

  private void requestTicket() {
    admission.requestTicket(this::admitted);
  }

  private void admitted(AdmissionOutcome outcome) {
    if (outcome instanceof AdmissionOutcome.Admitted admitted) {
      send(admitted.ticket());
    } else if (outcome instanceof AdmissionOutcome.Refused refused) {
      refuse(refused.reason(), refused.retryAfter());
    }
  }

  private void send(Ticket ticket) {
    dispatch = new Dispatch(context, ticket, request.fingerprint());
    callerCheck.run();
    if (ended) {
      dispatch.finish(Result.NOT_SENT, 0);
      return;
    }
    String requestId = context.requestIds().next();
    int maxResponseBytes = context.bounds().maxResponseBytes();
    UpstreamRequest upstreamRequest = request.toUpstreamRequest(ticket.address(), requestId);
    exchange = new PlainExchange(upstreamRequest, dispatch, maxResponseBytes, this);
    timers.startDeadline(admission.remainingTime(), this::deadlinePassed);
    PlainExchange current = exchange;
    if (!isAtMostOnce()) {
      timers.startSilenceTimeout(() -> silenceTimedOut(current));
    }
    exchange.start(io);
  }

  @Override
  public void notSent(NotSentReason reason) {
    boolean notPermitted = reason == NotSentReason.NOT_PERMITTED;
    dispatch.finish(notPermitted ? Result.NOT_SENT : Result.UNREACHABLE, 0);
    if (notPermitted && !context.membership().hasValidLease()) {
      refuse(RefusalReason.NO_LEASE, Duration.ZERO);
      return;
    }
    if (!notPermitted) {
      admission.exclude(dispatch.target().upstream());
    }
    failOver();
  }

  @Override
  public void responded(PlainResponse response) {
    dispatch.finish(Result.COMPLETED, 0);
    PlainResponse responseToSend = isAtMostOnce() ? PlainResponse.of(response.stored()) : response;
    complete(
        new CallResult.Done(responseToSend.stored()), () -> callerResponse.send(responseToSend));
  }

  @Override
  public void failed(PlainFailure failure) {
    executionStatus = ExecutionStatus.UNKNOWN;
    timers.stopSilenceTimeout();
    if (failure == PlainFailure.WRONG_REQUEST_ID) {
      context.counters().add(RelayCounters.CROSSED_ANSWERS);
    }
    if (failure == PlainFailure.TOO_LARGE) {
      dispatch.finish(Result.COMPLETED, 0);
      completeWithTooLargeResponse();
      return;
    }
    UpstreamProbe.start(dispatch.target(), io, this::upstreamLost);
  }

  private void completeWithTooLargeResponse() {
    String detail =
        "expected an answer of at most " + context.bounds().maxResponseBytes() + " bytes";
    ProblemDocument problem = context.problems().upstreamFailed(detail, executionStatus);
    complete(new CallResult.Unknown(), () -> callerResponse.send(problem));
  }

  private void upstreamLost(UpstreamLoss loss) {
    context
        .runningRequests()
        .reportIfCrashed(loss, dispatch.target(), request.fingerprint())
        .thenAccept(safeToRetry -> io.execute(() -> handleLoss(safeToRetry)));
  }

  private void handleLoss(boolean safeToRetry) {
    if (ended) {
      return;
    }
    dispatch.finish(Result.LOST, 0);
    admission.exclude(dispatch.target().upstream());
    if (isAtMostOnce()) {
      context.counters().add(RelayCounters.UNKNOWN_OUTCOMES);
      complete(
          new CallResult.Unknown(), () -> callerResponse.send(context.problems().outcomeUnknown()));
    } else if (safeToRetry) {
      failOver();
    } else {
      callerResponse.send(
          context.problems().upstreamFailed("the upstream was lost", executionStatus));
    }
  }

  /**
   * Retries the call on another upstream or ends it with a problem. Only for idempotent calls and
   * calls of which no byte was sent.
   */
  private void failOver() {
    if (callerResponse.isSent()) {
      endWithProblem(context.problems().timedOut(executionStatus));
    } else if (admission.mayRetry()) {
      requestTicket();
    } else if (admission.remainingTime().isZero()) {
      endWithProblem(context.problems().timedOut(executionStatus));
    } else {
      endWithProblem(
          context.problems().upstreamFailed("no upstream could be reached", executionStatus));
    }
  }

  private void refuse(RefusalReason reason, Duration retryAfter) {
    endWithProblem(context.problems().refused(reason, retryAfter, executionStatus));
  }

  /** Ends the call with a problem; an at-most-once call is recorded as not run. */
  private void endWithProblem(ProblemDocument problem) {
    if (isAtMostOnce() && exchange != null && exchange.mayHaveRun()) {
      throw new IllegalStateException("a call that may have run must not be recorded as not run");
    }
    complete(new CallResult.NotRun(), () -> callerResponse.send(problem));
  }

  private void silenceTimedOut(PlainExchange timedOutExchange) {
    if (ended || exchange != timedOutExchange || !admission.mayRetry()) {
      return;
    }
    context.counters().add(RelayCounters.CONNECTIONS_REPLACED);
    exchange.close();
    failed(PlainFailure.SILENT);
  }

  /**
   * Responds to the caller at its deadline. If an at-most-once call may have run, waits up to
   * {@link RelayBounds#lateResponseTimeout} longer for its response, so that the ledger can record
   * it.
   */
  private void deadlinePassed() {
    if (ended || callerResponse.isSent()) {
      return;
    }
    if (isAtMostOnce() && exchange.mayHaveRun()) {
      callerResponse.sendEarly(context.problems().timedOut(ExecutionStatus.UNKNOWN));
      io.after(context.bounds().lateResponseTimeout().toMillis(), this::lateResponseTimedOut);
    } else {
      boolean mayHaveRun = exchange.mayHaveRun() || executionStatus == ExecutionStatus.UNKNOWN;
      exchange.close();
      dispatch.finish(mayHaveRun ? Result.CANCELLED : Result.NOT_SENT, 0);
      endWithProblem(
          context.problems().timedOut(mayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO));
    }
  }

  private void lateResponseTimedOut() {
    if (ended) {
      return;
    }
    exchange.close();
    failed(PlainFailure.SILENT);
  }

  /** Ends the call: records the result of an at-most-once call, then sends the response. */
  private void complete(CallResult result, Runnable sendResponse) {
    if (ended) {
      return;
    }
    ended = true;
    timers.stop();
    if (isAtMostOnce()) {
      claim.finish(result, sendResponse);
    } else {
      sendResponse.run();
    }
  }
}
