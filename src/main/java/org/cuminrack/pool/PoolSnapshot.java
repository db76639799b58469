package org.cuminrack.pool;

import java.util.Collection;
import java.util.List;

/** What a pool's owner knows, for its next owner. */
record PoolSnapshot(
    PoolKey key,
    long epoch,
    Collection<UpstreamState> upstreams,
    List<RunningRequest> running,
    LengthPredictor lengths) {}
