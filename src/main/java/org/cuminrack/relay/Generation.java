package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.Ran;

/**
 * A new generation, from admission to the last token. Until a token has been handed on, a lost
 * engine is made good by one attempt elsewhere; after that the answer is of one generation, or ends
 * with a typed error. Lives on the exchange's I/O thread.
 */
final class Generation extends GenerationExchange {
  private static final int STATUS_UNAVAILABLE = 503;

  private final AdmissionClient admission;
  private Dispatch dispatch;
  private Ran ran = Ran.NO;

  Generation(RelayContext context, CallerRequest caller, GenerationRequest request) {
    super(context, caller, request);
    this.admission = new AdmissionClient(context, io(), request.shape());
  }

  /** Asks for a ticket and goes on from there. */
  void start() {
    watch();
    admission.ask(this::admitted);
  }

  private void admitted(AdmissionOutcome outcome) {
    if (outcome instanceof AdmissionOutcome.Admitted admitted) {
      dispatch(admitted.ticket());
    } else if (outcome instanceof AdmissionOutcome.Refused refused) {
      refuse(refused.reason(), refused.retryAfter());
    }
  }

  private void dispatch(Ticket ticket) {
    dispatch = new Dispatch(context(), ticket, request().fingerprint());
    if (isEnded()) {
      dispatch.finish(Result.NOT_SENT, 0);
    } else {
      open(dispatch.target()).begin(request(), context().requestIds().next());
    }
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
    if (vetoed && !context().membership().hasFreshLease()) {
      refuse(RefusalReason.NO_LEASE, Duration.ZERO);
      return;
    }
    if (!vetoed) {
      admission.exclude(upstream());
    }
    tryElsewhere("no connection to " + upstream());
  }

  @Override
  public void late() {
    dispatch.finish(Result.CANCELLED, 0);
    if (context().membership().hasFreshLease()) {
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
      String detail = upstream() + " answered with status " + status;
      end(context().refusals().upstreamFailed(detail, ran));
    }
  }

  @Override
  public void token(TokenData token, byte[] data) {
    dispatch.answerBegan();
    super.token(token, data);
  }

  @Override
  void answerLoss(boolean crashIsKnown) {
    dispatch.finish(Result.LOST, answer().tokens());
    if (answer().tokens() > 0) {
      context().counters().add(RelayCounters.GENERATIONS_LOST);
      end(context().refusals().generationLost(answer().lastIndex()));
    } else if (crashIsKnown) {
      admission.exclude(upstream());
      tryElsewhere(upstream() + " was lost");
    } else {
      end(context().refusals().upstreamFailed(upstream() + " was lost", ran));
    }
  }

  private String upstream() {
    return dispatch.target().upstream();
  }

  private void tryElsewhere(String detail) {
    forgetEngine();
    if (isEnded()) {
      return;
    }
    if (admission.mayAskAgain()) {
      admission.ask(this::admitted);
    } else if (admission.remaining().isZero()) {
      endOverdue();
    } else {
      end(context().refusals().upstreamFailed(detail, ran));
    }
  }

  private void refuse(RefusalReason reason, Duration retryAfter) {
    if (!isEnded()) {
      end(context().refusals().refused(reason, retryAfter, ran));
    }
  }

  @Override
  boolean isOverdue() {
    return answer().tokens() == 0 && admission.remaining().isZero();
  }

  @Override
  void endOverdue() {
    end(context().refusals().timedOut(ran));
  }

  @Override
  void leaveQueue() {
    admission.cancel();
  }

  @Override
  void release(Result result) {
    if (dispatch != null) {
      dispatch.finish(result, answer().tokens());
    }
  }
}
