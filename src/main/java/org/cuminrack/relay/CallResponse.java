package org.cuminrack.relay;

import org.cuminrack.http.ProblemDocument;

/**
 * Sends the single response to the caller of a plain call. The call stops counting as in flight
 * when it ends, which may be after an early response.
 */
final class CallResponse {
  private final RelayContext context;
  private final CallerRequest caller;
  private final IoContext io;
  private final Runnable endInFlight;
  private boolean sent;

  CallResponse(RelayContext context, CallerRequest caller, IoContext io, PlainRequest request) {
    this.context = context;
    this.caller = caller;
    this.io = io;
    this.endInFlight =
        context.inFlight().begin("call " + request.path() + " of " + request.organisation());
  }

  boolean isSent() {
    return sent;
  }

  /** Ends the call with a response from the upstream or the ledger. */
  void send(PlainResponse response) {
    endInFlight.run();
    if (!sent) {
      sent = true;
      response.send(caller.exchange());
      io.after(context.bounds().unreadDataTimeout().toMillis(), this::dropSlowCaller);
    }
  }

  /** Ends the call with a problem document. */
  void send(ProblemDocument problem) {
    endInFlight.run();
    sendEarly(problem);
  }

  /** Sends a problem document to the caller while the call continues. */
  void sendEarly(ProblemDocument problem) {
    if (!sent) {
      sent = true;
      caller.sendProblem(context, problem);
    }
  }

  /** Ends the call of a caller that has disconnected. */
  void drop() {
    sent = true;
    endInFlight.run();
    CallerExchanges.drop(caller.exchange());
  }

  private void dropSlowCaller() {
    if (!caller.exchange().isComplete()) {
      context.counters().add(RelayCounters.SLOW_CALLERS);
      CallerExchanges.drop(caller.exchange());
    }
  }
}
