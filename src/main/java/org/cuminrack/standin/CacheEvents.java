package org.cuminrack.standin;

import java.util.List;

/** A batch of cache events; a jump in the sequence is a gap. */
record CacheEvents(
    String upstream, String bootId, long sequence, List<Long> stored, List<Long> removed) {}
