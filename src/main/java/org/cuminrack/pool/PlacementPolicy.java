package org.cuminrack.pool;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for a request, among those that may take it. */
interface PlacementPolicy {

  /**
   * Chooses an upstream.
   *
   * @param candidates upstreams that may have new work of this request; they have room where the
   *     policy limits concurrency
   * @return the choice, or empty where none has room
   */
  Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context);
}
