package org.cuminrack.pool;

import java.util.List;
import java.util.Optional;

/** Chooses the candidates in turn, regardless of their load. */
final class RoundRobinPlacement implements PlacementPolicy {
  private int lastIndex;

  @Override
  public Optional<UpstreamState> place(
      QueuedRequest request, List<UpstreamState> candidates, PoolContext context) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    lastIndex = (lastIndex + 1) % candidates.size();
    return Optional.of(candidates.get(lastIndex));
  }
}
