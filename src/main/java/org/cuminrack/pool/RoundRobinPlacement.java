package org.cuminrack.pool;

import java.util.List;
import java.util.Optional;

/** Chooses each upstream in turn, regardless of its load. */
final class RoundRobinPlacement implements PlacementPolicy {
  private int next;

  @Override
  public Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    next = (next + 1) % candidates.size();
    return Optional.of(candidates.get(next));
  }
}
