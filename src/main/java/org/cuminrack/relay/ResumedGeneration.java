package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.TicketOutcome.Result;

/**
 * A caller that comes back to a generation it has read a part of. It is no new work: it needs
 * neither ticket nor lease, and no other engine can go on with it.
 */
final class ResumedGeneration extends GenerationExchange {
  private final EventId lastRead;
  private boolean running;

  ResumedGeneration(
      RelayContext context, CallerRequest caller, GenerationRequest request, EventId lastRead) {
    super(context, caller, request);
    this.lastRead = lastRead;
  }

  /** Goes on after the last token that the caller has read. */
  void start() {
    answer().goesOnAfter(lastRead.index());
    watch();
    if (lastRead.last()) {
      finish(Result.COMPLETED);
      answer().stream().endWhole();
      return;
    }
    EngineTarget target =
        new EngineTarget(lastRead.upstream(), lastRead.address(), lastRead.bootId());
    context().running().add(target, request().fingerprint());
    running = true;
    open(target).goOn(lastRead.generation(), lastRead.index());
  }

  @Override
  void release(Result result) {
    if (running) {
      running = false;
      context().running().remove(engine().target(), request().fingerprint());
    }
  }

  @Override
  void answerLoss(boolean crashIsKnown) {
    context().counters().add(RelayCounters.GENERATIONS_LOST);
    end(context().refusals().generationLost(answer().lastIndex()));
  }

  @Override
  public boolean maySend() {
    return true;
  }

  @Override
  public void sent() {}

  @Override
  public void notSent(NotSent reason) {
    throw new IllegalStateException("a generation that has begun is asked for until it is lost");
  }

  @Override
  public void late() {
    throw new IllegalStateException("a generation that has begun is not sent again");
  }

  @Override
  public void refused(int status, Duration retryAfter) {
    throw new IllegalStateException("a generation that has begun is not refused");
  }
}
