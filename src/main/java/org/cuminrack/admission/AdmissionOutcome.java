package org.cuminrack.admission;

import java.time.Duration;

/** The answer to an {@link AdmissionRequest}. */
public sealed interface AdmissionOutcome {

  /** The request may be sent. */
  record Admitted(Ticket ticket) implements AdmissionOutcome {}

  /**
   * The request is given up; nothing of it was or will be sent.
   *
   * @param retryAfter when coming back helps; zero where it never does
   */
  record Refused(RefusalReason reason, Duration retryAfter) implements AdmissionOutcome {}
}
