package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.TicketOutcome.Result;

/**
 * Resumes a generation that the caller has partly read. It needs neither ticket nor lease, as no
 * new work is started, and it cannot fail over to another engine.
 */
final class ResumedGeneration extends GenerationExchange {
  private final EventId lastEvent;
  private boolean registered;

  ResumedGeneration(
      RelayContext context, CallerRequest caller, GenerationRequest request, EventId lastEvent) {
    super(context, caller, request);
    this.lastEvent = lastEvent;
  }

  /** Resumes after the last token that the caller has read. */
  void start() {
    response().resumeAfter(lastEvent.index());
    startMonitoring();
    if (isEnded()) {
      return;
    }
    if (lastEvent.isLastToken()) {
      finish(Result.COMPLETED);
      response().stream().endSuccessfully();
      return;
    }
    UpstreamProcess target =
        new UpstreamProcess(lastEvent.upstream(), lastEvent.address(), lastEvent.bootId());
    context().runningRequests().add(target, request().fingerprint());
    registered = true;
    createEngineStream(target).resumeAfter(lastEvent.generation(), lastEvent.index());
  }

  @Override
  void release(Result result) {
    if (registered) {
      registered = false;
      context().runningRequests().remove(engineStream().target(), request().fingerprint());
    }
  }

  @Override
  void handleLoss(boolean safeToRetry) {
    context().counters().add(RelayCounters.GENERATIONS_LOST);
    endWithProblem(context().problems().generationLost(response().lastIndex()));
  }

  @Override
  public boolean maySend() {
    return true;
  }

  @Override
  public void sent() {}

  @Override
  public void notSent(NotSentReason reason) {
    throw new IllegalStateException(
        "unexpected notSent: a resumed stream reconnects until the generation is lost");
  }

  @Override
  public void expiredWhileSending() {
    throw new IllegalStateException(
        "a resumed generation needs no lease or ticket that could expire");
  }

  @Override
  public void rejected(int status, Duration retryAfter) {
    throw new IllegalStateException("a resumed generation cannot be rejected");
  }
}
