package org.cuminrack.quorum.internal;

/**
 * An entry of the replicated log.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that appended it
 */
@SuppressWarnings("ArrayRecordComponent")
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {}
