package org.cuminrack.pool;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for a request. */
interface PlacementPolicy {

  /**
   * Chooses an upstream.
   *
   * @param candidates available upstreams that the request does not exclude, regardless of their
   *     load
   * @return the chosen upstream, or empty if none has capacity
   */
  Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context);
}
