package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cuminrack.routing.EngineSpec;

/**
 * Chooses the engine on which released memory is kept for a large generation that fits on none. Its
 * reservation exceeds the engine's memory at first and is counted by all gateways, so that smaller
 * generations go elsewhere. Stateless and does no I/O.
 */
final class RoomHold {
  /** Engines of a service on which memory may be kept at the same time: one in this many. */
  private static final int ENGINES_PER_HOLD = 8;

  private RoomHold() {}

  /** Returns the engine with most free memory; empty if memory is kept on enough engines. */
  static Optional<Candidate> choose(List<Candidate> candidates, EngineSpec engine, long tokens) {
    long usable = Placement.usableTokens(engine);
    long overcommitted =
        candidates.stream().filter(candidate -> candidate.load().reservedTokens() > usable).count();
    if (tokens > usable || overcommitted >= Math.max(1, candidates.size() / ENGINES_PER_HOLD)) {
      return Optional.empty();
    }
    return candidates.stream()
        .filter(candidate -> !candidate.avoided())
        .filter(candidate -> candidate.load().reservedTokens() <= usable)
        .filter(candidate -> candidate.load().requests() < engine.batchSlots())
        .min(
            Comparator.comparingDouble(
                candidate ->
                    (double) candidate.load().reservedTokens() / engine.memoryTokens()
                        + candidate.jitter() / ENGINES_PER_HOLD));
  }

  /** Returns whether all that is reserved on an engine, the kept memory included, fits there. */
  static boolean isFree(UpstreamLoad load, EngineSpec engine, Duration shortestTarget) {
    return load.reservedTokens() <= Placement.usableTokens(engine)
        && load.requests() <= engine.batchSlots()
        && PrefillTime.mayPrefillMore(load, shortestTarget);
  }
}
