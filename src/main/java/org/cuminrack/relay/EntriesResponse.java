package org.cuminrack.relay;

import java.util.List;

/**
 * The entries that callers may use.
 *
 * @param entries hosts and ports, those in the data centre of the responding entry first
 * @param ttlSeconds how long callers may cache this response
 */
record EntriesResponse(List<String> entries, long ttlSeconds) {}
