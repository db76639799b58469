package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.TicketOutcome.Result;

/**
 * Resumes a generation that the caller has partly read. It requires neither ticket nor lease, as no
 * new work is started, and it cannot fail over to another engine.
 */
final class ResumedGeneration extends GenerationExchange {
  private final EventId lastEvent;
  private boolean running;

  ResumedGeneration(
      RelayContext context, CallerRequest caller, GenerationRequest request, EventId lastEvent) {
    super(context, caller, request);
    this.lastEvent = lastEvent;
  }

  /** Resumes after the last token that the caller has read. */
  void start() {
    response().resumeAfter(lastEvent.index());
    startMonitoring();
    if (lastEvent.isLastToken()) {
      finish(Result.COMPLETED);
      response().stream().endSuccessfully();
      return;
    }
    UpstreamProcess target =
        new UpstreamProcess(lastEvent.upstream(), lastEvent.address(), lastEvent.bootId());
    context().running().add(target, request().fingerprint());
    running = true;
    open(target).resumeFrom(lastEvent.generation(), lastEvent.index());
  }

  @Override
  void release(Result result) {
    if (running) {
      running = false;
      context().running().remove(engine().target(), request().fingerprint());
    }
  }

  @Override
  void handleLoss(boolean safeToRetry) {
    context().counters().add(RelayCounters.GENERATIONS_LOST);
    endWithProblem(context().refusals().generationLost(response().lastIndex()));
  }

  @Override
  public boolean maySend() {
    return true;
  }

  @Override
  public void sent() {}

  @Override
  public void notSent(NotSent reason) {
    throw new IllegalStateException(
        "unexpected notSent: a resumed stream reconnects until the generation is lost");
  }

  @Override
  public void expiredWhileSending() {
    throw new IllegalStateException(
        "a resumed generation needs no lease or ticket that could expire");
  }

  @Override
  public void refused(int status, Duration retryAfter) {
    throw new IllegalStateException("a resumed generation cannot be refused");
  }
}
