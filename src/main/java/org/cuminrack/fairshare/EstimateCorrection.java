package org.cuminrack.fairshare;

import java.util.HashMap;
import java.util.Map;

/**
 * The ratio of real waits to estimated ones by priority, by which further estimates are corrected:
 * an estimate can't know of more urgent requests that arrive later. Not thread-safe.
 */
final class EstimateCorrection {
  private static final double DECAY = 0.9;
  private static final double MIN_FACTOR = 0.5;
  private static final double MAX_FACTOR = 8;

  /** Weight of the assumption that estimates are right, as an estimated wait. */
  private static final double PRIOR_NANOS = 200e6;

  private final Map<Integer, Sums> byPriority = new HashMap<>();

  void record(int priority, long estimatedNanos, long realNanos) {
    byPriority.merge(
        priority,
        new Sums(estimatedNanos, realNanos),
        (before, added) ->
            new Sums(
                before.estimatedNanos * DECAY + added.estimatedNanos,
                before.realNanos * DECAY + added.realNanos));
  }

  long corrected(int priority, long estimatedNanos) {
    Sums sums = byPriority.getOrDefault(priority, new Sums(0, 0));
    double factor = (sums.realNanos + PRIOR_NANOS) / (sums.estimatedNanos + PRIOR_NANOS);
    return (long) (estimatedNanos * Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor)));
  }

  private record Sums(double estimatedNanos, double realNanos) {}
}
