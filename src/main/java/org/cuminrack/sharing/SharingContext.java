package org.cuminrack.sharing;

import org.cuminrack.time.Clock;

/**
 * What the exchange with all boards has in common.
 *
 * @param vm the VM of this gateway
 * @param runMillis the wall-clock time of this gateway's start
 * @param onChanged called after an answer that may have changed the load of the others
 */
record SharingContext(
    String vm,
    long runMillis,
    SharedTables tables,
    Pools pools,
    BoardChoice choice,
    BoardTransport transport,
    SharingCounters counters,
    Runnable onChanged,
    Clock clock) {}
