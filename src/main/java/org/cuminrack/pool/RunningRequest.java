package org.cuminrack.pool;

import org.cuminrack.admission.Ticket;

/**
 * An admitted request whose ticket has not been returned yet.
 *
 * @param admittedNanos time of admission
 */
record RunningRequest(Ticket ticket, QueuedRequest queued, long admittedNanos) {

  long ageNanos(long nowNanos) {
    return nowNanos - admittedNanos;
  }
}
