package org.cuminrack.quorum;

import java.time.Instant;

/**
 * A time in which the disk of a replica refuses writes.
 *
 * @param since when the first write was refused
 * @param write what was refused last: entries, vote, snapshot or data folder (at the start)
 * @param detail the error of that write
 */
public record DiskRefusal(Instant since, String write, String detail) {}
