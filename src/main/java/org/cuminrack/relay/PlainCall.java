package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ProblemDocument;
import org.cuminrack.http.Ran;
import org.cuminrack.ledger.CallKey;
import org.cuminrack.ledger.CallResult;
import org.cuminrack.ledger.ClaimVerdict;

/**
 * One caller's plain call. One that may be repeated gets a second upstream where the first fails.
 * One that may not is claimed in the ledger before its first byte leaves; once a byte may have left
 * it is never sent again, its claim ends with the answer or as unknown, and it goes on to its end
 * whether or not the caller waits. Lives on the exchange's I/O thread.
 */
final class PlainCall implements PlainExchange.Listener {
  private final RelayContext context;
  private final CallerRequest caller;
  private final PlainRequest request;
  private final IoContext io;
  private final AdmissionClient admission;
  private final CallClaim claim;
  private final CallAnswer callerAnswer;
  private final CallTimers timers;
  private Dispatch dispatch;
  private PlainExchange exchange;
  private Ran ran = Ran.NO;
  private boolean ended;

  private PlainCall(RelayContext context, CallerRequest caller, PlainRequest request, CallKey key) {
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.io = IoContext.of(caller.exchange(), context.bounds());
    this.admission = new AdmissionClient(context, io, request.shape());
    this.claim = key == null ? null : new CallClaim(context, io, request, key);
    this.timers = new CallTimers(io);
    this.callerAnswer = new CallAnswer(context, caller, io, request);
  }

  /** A call that may be repeated. */
  static PlainCall idempotent(RelayContext context, CallerRequest caller, PlainRequest request) {
    return new PlainCall(context, caller, request, null);
  }

  /** A call that may run at most once under its key. */
  static PlainCall once(
      RelayContext context, CallerRequest caller, PlainRequest request, CallKey key) {
    return new PlainCall(context, caller, request, key);
  }

  private boolean runsOnce() {
    return claim != null;
  }

  void start() {
    if (runsOnce()) {
      claim.ask(admission.remaining(), this::claimed);
    } else {
      CallerWatch.begin(caller.exchange(), this::abandoned);
      askAdmission();
    }
  }

  /** The caller of a call that may be repeated has left. */
  private void abandoned() {
    if (ended) {
      return;
    }
    context.counters().add(RelayCounters.CALLERS_GONE);
    admission.cancel();
    if (exchange != null) {
      exchange.close();
      dispatch.finish(Result.CANCELLED, 0);
    }
    conclude(new CallResult.Unknown(), callerAnswer::drop);
  }

  private void claimed(ClaimVerdict verdict) {
    Refusals refusals = context.refusals();
    if (verdict instanceof ClaimVerdict.Granted) {
      askAdmission();
    } else if (verdict instanceof ClaimVerdict.Done done) {
      callerAnswer.give(PlainAnswer.of(done.answer()));
    } else if (verdict instanceof ClaimVerdict.InProgress found) {
      callerAnswer.give(refusals.inProgress(found.retryAfter()));
    } else if (verdict instanceof ClaimVerdict.KeyReused) {
      callerAnswer.give(refusals.keyReused());
    } else if (verdict instanceof ClaimVerdict.Unavailable found) {
      callerAnswer.give(refusals.ledgerUnavailable(found.retryAfter()));
    } else {
      callerAnswer.give(refusals.outcomeUnknown());
    }
  }

  private void askAdmission() {
    admission.ask(this::admitted);
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
    if (ended) {
      dispatch.finish(Result.NOT_SENT, 0);
      return;
    }
    String requestId = context.requestIds().next();
    int maxAnswerBytes = context.bounds().maxAnswerBytes();
    UpstreamRequest sent = request.to(ticket.address(), requestId);
    exchange = new PlainExchange(sent, dispatch, maxAnswerBytes, this);
    timers.deadline(admission.remaining(), this::deadlinePassed);
    PlainExchange current = exchange;
    if (!runsOnce()) {
      timers.silence(() -> silent(current));
    }
    exchange.begin(io);
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
      admission.exclude(dispatch.target().upstream());
    }
    tryElsewhere();
  }

  @Override
  public void answered(PlainAnswer answer) {
    dispatch.finish(Result.COMPLETED, 0);
    PlainAnswer given = runsOnce() ? PlainAnswer.of(answer.stored()) : answer;
    conclude(new CallResult.Done(given.stored()), () -> callerAnswer.give(given));
  }

  @Override
  public void failed(PlainFailure failure) {
    ran = Ran.UNKNOWN;
    timers.stopSilence();
    if (failure == PlainFailure.CROSSED) {
      context.counters().add(RelayCounters.CROSSED_ANSWERS);
    }
    if (failure == PlainFailure.TOO_LARGE) {
      dispatch.finish(Result.COMPLETED, 0);
      tooLarge();
      return;
    }
    EngineProbe.ask(dispatch.target(), io, this::lost);
  }

  private void tooLarge() {
    String detail = "expected an answer of at most " + context.bounds().maxAnswerBytes() + " bytes";
    ProblemDocument problem = context.refusals().upstreamFailed(detail, ran);
    conclude(new CallResult.Unknown(), () -> callerAnswer.give(problem));
  }

  private void lost(EngineLoss loss) {
    context
        .running()
        .settle(loss, dispatch.target(), request.fingerprint())
        .thenAccept(known -> io.execute(() -> lost(known)));
  }

  private void lost(boolean crashIsKnown) {
    if (ended) {
      return;
    }
    dispatch.finish(Result.LOST, 0);
    admission.exclude(dispatch.target().upstream());
    if (runsOnce()) {
      context.counters().add(RelayCounters.UNKNOWN_OUTCOMES);
      conclude(
          new CallResult.Unknown(), () -> callerAnswer.give(context.refusals().outcomeUnknown()));
    } else if (crashIsKnown) {
      tryElsewhere();
    } else {
      callerAnswer.give(context.refusals().upstreamFailed("the upstream was lost", ran));
    }
  }

  /** Only for calls that may be repeated, and for those of which no byte has left. */
  private void tryElsewhere() {
    if (callerAnswer.isGiven()) {
      giveUp(context.refusals().timedOut(ran));
    } else if (admission.mayAskAgain()) {
      askAdmission();
    } else if (admission.remaining().isZero()) {
      giveUp(context.refusals().timedOut(ran));
    } else {
      giveUp(context.refusals().upstreamFailed("no upstream could be reached", ran));
    }
  }

  private void refuse(RefusalReason reason, Duration retryAfter) {
    giveUp(context.refusals().refused(reason, retryAfter, ran));
  }

  private void giveUp(ProblemDocument problem) {
    if (runsOnce() && exchange != null && exchange.mayHaveRun()) {
      throw new IllegalStateException("a call that may have run must not be recorded as not run");
    }
    conclude(new CallResult.NotRun(), () -> callerAnswer.give(problem));
  }

  private void silent(PlainExchange silentExchange) {
    if (ended || exchange != silentExchange || !admission.mayAskAgain()) {
      return;
    }
    context.counters().add(RelayCounters.CONNECTIONS_REPLACED);
    exchange.close();
    failed(PlainFailure.SILENT);
  }

  /**
   * Answers the caller at its deadline. A call that may not be repeated and may have run is still
   * waited for, so that its claim ends with the answer if there is one.
   */
  private void deadlinePassed() {
    if (ended || callerAnswer.isGiven()) {
      return;
    }
    if (runsOnce() && exchange.mayHaveRun()) {
      callerAnswer.giveEarly(context.refusals().timedOut(Ran.UNKNOWN));
      io.after(context.bounds().lateAnswer().toMillis(), this::lateAnswerMissed);
    } else {
      boolean mayHaveRun = exchange.mayHaveRun() || ran == Ran.UNKNOWN;
      exchange.close();
      dispatch.finish(mayHaveRun ? Result.CANCELLED : Result.NOT_SENT, 0);
      giveUp(context.refusals().timedOut(mayHaveRun ? Ran.UNKNOWN : Ran.NO));
    }
  }

  private void lateAnswerMissed() {
    if (ended) {
      return;
    }
    exchange.close();
    failed(PlainFailure.SILENT);
  }

  /** Ends the work: records the result where the call may run only once, then answers. */
  private void conclude(CallResult result, Runnable answering) {
    if (ended) {
      return;
    }
    ended = true;
    timers.stop();
    if (runsOnce()) {
      claim.finish(result, answering);
    } else {
      answering.run();
    }
  }
}
