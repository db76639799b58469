package org.cuminrack.pool;

import java.time.Duration;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;

/** The decision of a pool about a submitted request. */
public sealed interface PoolDecision {

  /** Returns the id under which the request was submitted. */
  long requestId();

  /** The request may be sent. */
  record Admitted(long requestId, Ticket ticket) implements PoolDecision {}

  /**
   * The request is refused.
   *
   * @param retryAfter as in {@link org.cuminrack.admission.AdmissionOutcome.Refused}
   */
  record Refused(long requestId, RefusalReason reason, Duration retryAfter)
      implements PoolDecision {}
}
