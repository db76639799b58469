package org.cuminrack.pool;

import org.cuminrack.admission.Ticket;

/** Issues the tickets of one pool; ticket ids are unique per owner and epoch. */
final class TicketIssuer {
  private static final int EPOCH_SHIFT = 32;

  private final PoolKey pool;
  private final long epoch;
  private long lastNumber;

  TicketIssuer(PoolKey pool, long epoch) {
    this.pool = pool;
    this.epoch = epoch;
  }

  Ticket issue(Announcement announcement, boolean exclusive, long nowNanos) {
    return new Ticket(
        (epoch << EPOCH_SHIFT) | ++lastNumber,
        pool.name(),
        epoch,
        announcement.upstream(),
        announcement.bootId(),
        announcement.address(),
        nowNanos + PoolLimits.DISPATCH_TIMEOUT.toNanos(),
        exclusive);
  }
}
