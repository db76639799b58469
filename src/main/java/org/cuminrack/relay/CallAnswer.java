package org.cuminrack.relay;

import org.cuminrack.http.ProblemDocument;

/**
 * The one answer that the caller of a plain call gets. The work ends with it, unless it was given
 * early.
 */
final class CallAnswer {
  private final RelayContext context;
  private final CallerRequest caller;
  private final IoContext io;
  private final Runnable endOfWork;
  private boolean given;

  CallAnswer(RelayContext context, CallerRequest caller, IoContext io, PlainRequest request) {
    this.context = context;
    this.caller = caller;
    this.io = io;
    this.endOfWork =
        context.inFlight().begin("call " + request.path() + " of " + request.organisation());
  }

  boolean isGiven() {
    return given;
  }

  /** Ends the work with an upstream's answer. */
  void give(PlainAnswer answer) {
    endOfWork.run();
    if (!given) {
      given = true;
      answer.send(caller.exchange());
      io.after(context.bounds().slowCaller().toMillis(), this::dropSlowCaller);
    }
  }

  /** Ends the work with a refusal. */
  void give(ProblemDocument problem) {
    endOfWork.run();
    giveEarly(problem);
  }

  /** Answers the caller while the work goes on. */
  void giveEarly(ProblemDocument problem) {
    if (!given) {
      given = true;
      caller.answer(context, problem);
    }
  }

  /** Ends the work of a caller that has left. */
  void drop() {
    given = true;
    endOfWork.run();
    CallerExchanges.drop(caller.exchange());
  }

  private void dropSlowCaller() {
    if (!caller.exchange().isComplete()) {
      context.counters().add(RelayCounters.SLOW_CALLERS);
      CallerExchanges.drop(caller.exchange());
    }
  }
}
