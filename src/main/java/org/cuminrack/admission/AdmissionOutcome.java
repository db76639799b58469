package org.cuminrack.admission;

import java.time.Duration;

/** The result of an {@link AdmissionRequest}. */
public sealed interface AdmissionOutcome {

  /** The request may be sent. */
  record Admitted(Ticket ticket) implements AdmissionOutcome {}

  /**
   * The request is refused; no part of it was or will be sent.
   *
   * @param retryAfter delay after which a retry may succeed; zero if the delay is unknown or no
   *     retry is expected to succeed
   */
  record Refused(RefusalReason reason, Duration retryAfter) implements AdmissionOutcome {}
}
