package org.cuminrack.admission;

import java.util.concurrent.CompletableFuture;

/** Gives requests the right to run on an upstream. Safe for use by many threads. */
public interface Admission {

  /**
   * Asks for a ticket. The future always completes normally, at the latest when the request's
   * timeout has passed; cancelling it takes the request out of the queue.
   */
  CompletableFuture<AdmissionOutcome> admit(AdmissionRequest request);

  /** Gives a ticket back. Every ticket is given back exactly once. */
  void finished(Ticket ticket, TicketOutcome outcome);
}
