package org.cuminrack.pool;

import org.cuminrack.admission.Ticket;

/**
 * A request that was admitted and has not come back.
 *
 * @param admittedNanos when
 */
record RunningRequest(Ticket ticket, QueuedRequest queued, long admittedNanos) {

  long ageNanos(long nowNanos) {
    return nowNanos - admittedNanos;
  }
}
