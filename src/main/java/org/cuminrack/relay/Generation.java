package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.AdmissionOutcome;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome.Result;
import org.cuminrack.http.ExecutionStatus;

/**
 * A new generation, from admission to the last token.
 *
 * <p>Before the first token was relayed, the request is retried at most once if it was not sent,
 * its ticket expired during the send, or its engine was lost. An engine that could not be reached
 * or was lost is excluded from the retry. The request is not retried if this entry has no valid
 * lease, the engine responded with an error status, or a crash of the engine could not be reported.
 * After the first token it is never retried, so that a response never mixes two generations; a loss
 * then ends the response with an error event.
 *
 * <p>Confined to the exchange's I/O thread.
 */
final class Generation extends GenerationExchange {
  private static final int STATUS_UNAVAILABLE = 503;

  private final AdmissionClient admission;
  private Dispatch dispatch;
  private ExecutionStatus executionStatus = ExecutionStatus.NO;

  Generation(RelayContext context, CallerRequest caller, GenerationRequest request) {
    super(context, caller, request);
    this.admission = new AdmissionClient(context, io(), request.admissionParameters());
  }

  /** Requests an admission ticket and sends the request once it is granted. */
  void start() {
    startMonitoring();
    if (!isEnded()) {
      admission.requestTicket(this::admitted);
    }
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
      createEngineStream(dispatch.target()).begin(request(), context().requestIds().next());
    }
  }

  @Override
  public boolean maySend() {
    return isCallerPresent() && dispatch.maySend();
  }

  @Override
  public void sent() {
    executionStatus = ExecutionStatus.UNKNOWN;
  }

  @Override
  public void notSent(NotSentReason reason) {
    boolean notPermitted = reason == NotSentReason.NOT_PERMITTED;
    dispatch.finish(notPermitted ? Result.NOT_SENT : Result.UNREACHABLE, 0);
    if (notPermitted && !context().membership().hasValidLease()) {
      refuse(RefusalReason.NO_LEASE, Duration.ZERO);
      return;
    }
    if (!notPermitted) {
      admission.exclude(upstream());
    }
    failOver("no connection to " + upstream());
  }

  @Override
  public void expiredWhileSending() {
    dispatch.finish(Result.CANCELLED, 0);
    if (context().membership().hasValidLease()) {
      failOver("the ticket ran out");
    } else {
      refuse(RefusalReason.NO_LEASE, Duration.ZERO);
    }
  }

  @Override
  public void rejected(int status, Duration retryAfter) {
    if (status == STATUS_UNAVAILABLE) {
      dispatch.finish(Result.OVERLOADED, 0);
      refuse(RefusalReason.OVERLOADED, retryAfter);
    } else {
      dispatch.finish(Result.LOST, 0);
      String detail = upstream() + " answered with status " + status;
      endWithProblem(context().problems().upstreamFailed(detail, executionStatus));
    }
  }

  @Override
  public void token(TokenEvent token, byte[] data) {
    dispatch.responseStarted();
    super.token(token, data);
  }

  @Override
  void handleLoss(boolean safeToRetry) {
    dispatch.finish(Result.LOST, response().tokenCount());
    if (response().tokenCount() > 0) {
      context().counters().add(RelayCounters.GENERATIONS_LOST);
      endWithProblem(context().problems().generationLost(response().lastIndex()));
    } else if (safeToRetry) {
      admission.exclude(upstream());
      failOver(upstream() + " was lost");
    } else {
      endWithProblem(
          context().problems().upstreamFailed(upstream() + " was lost", executionStatus));
    }
  }

  private String upstream() {
    return dispatch.target().upstream();
  }

  private void failOver(String detail) {
    clearEngineStream();
    if (isEnded()) {
      return;
    }
    if (admission.mayRetry()) {
      admission.requestTicket(this::admitted);
    } else if (admission.remainingTime().isZero()) {
      endTimedOut();
    } else {
      endWithProblem(context().problems().upstreamFailed(detail, executionStatus));
    }
  }

  private void refuse(RefusalReason reason, Duration retryAfter) {
    if (!isEnded()) {
      endWithProblem(context().problems().refused(reason, retryAfter, executionStatus));
    }
  }

  @Override
  boolean isPastDeadline() {
    return response().tokenCount() == 0 && admission.remainingTime().isZero();
  }

  @Override
  void endTimedOut() {
    endWithProblem(context().problems().timedOut(executionStatus));
  }

  @Override
  void leaveAdmissionQueue() {
    admission.cancel();
  }

  @Override
  void release(Result result) {
    if (dispatch != null) {
      dispatch.finish(result, response().tokenCount());
    }
  }
}
