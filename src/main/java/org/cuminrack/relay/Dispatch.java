package org.cuminrack.relay;

import java.time.Duration;
import org.cuminrack.admission.Fingerprint;
import org.cuminrack.admission.Ticket;
import org.cuminrack.admission.TicketOutcome;
import org.cuminrack.member.CrashEvidence;
import org.cuminrack.member.CrashReports;

/**
 * One attempt to run a request under an admission ticket: checks whether the request may still be
 * sent, registers it as running on the upstream, and returns the ticket once. Confined to the
 * exchange's I/O thread.
 */
final class Dispatch {
  private final RelayContext context;
  private final Ticket ticket;
  private final Fingerprint fingerprint;
  private final long startNanos;
  private Duration timeToFirstToken = Duration.ZERO;
  private boolean finished;

  Dispatch(RelayContext context, Ticket ticket, Fingerprint fingerprint) {
    this.context = context;
    this.ticket = ticket;
    this.fingerprint = fingerprint;
    this.startNanos = context.clock().nanoTime();
    context.runningRequests().add(target(), fingerprint, evidence(ticket));
  }

  /**
   * A request without an exclusive ticket had no crash when it was admitted, and may run on other
   * upstreams that crash at the same time; those count as one crash. One with an exclusive ticket
   * runs nowhere else.
   */
  private static CrashEvidence evidence(Ticket ticket) {
    return CrashEvidence.ofRequest(ticket.exclusive() ? CrashReports.COUNT_ALWAYS : 0);
  }

  UpstreamProcess target() {
    return UpstreamProcess.of(ticket);
  }

  /** Returns whether the request may be sent now: this entry's lease and the ticket are valid. */
  boolean maySend() {
    return context.membership().hasValidLease()
        && context.clock().nanoTime() - ticket.dispatchByNanos() < 0;
  }

  /** Records the time of the first token or byte; later calls have no effect. */
  void responseStarted() {
    if (timeToFirstToken.isZero()) {
      timeToFirstToken = Duration.ofNanos(context.clock().nanoTime() - startNanos);
    }
  }

  /**
   * Returns the ticket with its outcome; later calls have no effect. Clears the suspicion of a
   * request that completed while it ran alone.
   */
  void finish(TicketOutcome.Result result, int outputTokens) {
    if (finished) {
      return;
    }
    finished = true;
    context.runningRequests().remove(target(), fingerprint);
    context
        .admission()
        .returnTicket(ticket, new TicketOutcome(result, outputTokens, timeToFirstToken));
    if (ticket.exclusive() && result == TicketOutcome.Result.COMPLETED) {
      context.crashReports().clear(fingerprint);
    }
  }
}
