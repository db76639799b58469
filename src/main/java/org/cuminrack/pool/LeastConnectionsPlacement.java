package org.cuminrack.pool;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the upstream with the fewest requests, regardless of its limits. */
final class LeastConnectionsPlacement implements PlacementPolicy {

  @Override
  public Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context) {
    return candidates.stream().min(Comparator.comparingInt(UpstreamState::requestsInFlight));
  }
}
