package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;

/**
 * A ticket in use: says whether it may be used at this instant, and gives it back once. Lives on
 * the exchange's I/O thread.
 */
final class Dispatch {
  private final RelayContext context;
  private final Ticket ticket;
  private final Fingerprint fingerprint;
  private final long startNanos;
  private Duration firstTokenAfter = Duration.ZERO;
  private boolean finished;

  Dispatch(RelayContext context, Ticket ticket, Fingerprint fingerprint) {
    this.context = context;
    this.ticket = ticket;
    this.fingerprint = fingerprint;
    this.startNanos = context.clock().nanoTime();
    context.running().add(target(), fingerprint);
  }

  EngineTarget target() {
    return EngineTarget.of(ticket);
  }

  /** Tells whether the right to send holds at this instant. */
  boolean maySend() {
    return context.membership().hasFreshLease()
        && context.clock().nanoTime() - ticket.dispatchByNanos() < 0;
  }

  /** Notes that the first token or byte has come. */
  void answerBegan() {
    if (firstTokenAfter.isZero()) {
      firstTokenAfter = Duration.ofNanos(context.clock().nanoTime() - startNanos);
    }
  }

  /** Gives the ticket back; a second call does nothing. */
  void finish(TicketOutcome.Result result, int outputTokens) {
    if (finished) {
      return;
    }
    finished = true;
    context.running().remove(target(), fingerprint);
    context.admission().finished(ticket, new TicketOutcome(result, outputTokens, firstTokenAfter));
    if (ticket.alone() && result == TicketOutcome.Result.COMPLETED) {
      context.crashReports().clear(fingerprint);
    }
  }
}
