package org.cuminrack.pool;

import java.time.Duration;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.Ticket;

/** What a pool decided about a request that was submitted to it. */
public sealed interface PoolDecision {

  /** Returns the id that the request was submitted with. */
  long requestId();

  /** The request may be sent. */
  record Admitted(long requestId, Ticket ticket) implements PoolDecision {}

  /** The request is given up; {@code retryAfter} is zero where coming back never helps. */
  record Refused(long requestId, RefusalReason reason, Duration retryAfter)
      implements PoolDecision {}
}
