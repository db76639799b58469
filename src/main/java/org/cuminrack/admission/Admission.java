package org.cuminrack.admission;

import java.util.concurrent.CompletableFuture;

/** Grants requests permission to run on an upstream. Thread-safe. */
public interface Admission {

  /**
   * Requests a ticket. The future always completes normally, at the latest when the request's
   * timeout expires. Cancelling it removes the request from the queue, or returns the ticket if one
   * was granted.
   */
  CompletableFuture<AdmissionOutcome> admit(AdmissionRequest request);

  /** Returns a ticket. Every ticket must be returned exactly once. */
  void returnTicket(Ticket ticket, TicketOutcome outcome);
}
