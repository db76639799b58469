package org.cuminrack.relay;

import java.util.List;

/**
 * Which entries callers may use.
 *
 * @param entries hosts and ports, the nearest first
 * @param ttlSeconds how long to keep this answer
 */
record EntriesAnswer(List<String> entries, long ttlSeconds) {}
