package org.cuminrack.standin;

import java.util.List;

/** A batch of cache events; a gap in the sequence numbers means that a batch was lost. */
record CacheEvents(
    String upstream, String bootId, long sequence, List<Long> stored, List<Long> removed) {}
