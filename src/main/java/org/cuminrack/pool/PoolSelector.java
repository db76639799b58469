package org.cuminrack.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a pool by the power of two choices, as summaries are slightly stale: draws two pools at
 * random, weighted by size, and takes the better one. This keeps entries with the same summaries
 * from all choosing the same pool.
 */
public final class PoolSelector {
  private final String dataCentre;
  private final RandomGenerator random;

  /**
   * @param dataCentre the data centre whose pools are preferred in a tie
   */
  public PoolSelector(String dataCentre, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /** Returns the chosen pool; empty if no pool has an available upstream. */
  public Optional<PoolKey> choose(Collection<PoolSummary> summaries) {
    List<PoolSummary> usable =
        summaries.stream().filter(each -> each.availableUpstreams() > 0).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    PoolSummary first = draw(usable);
    PoolSummary second = draw(usable);
    Comparator<PoolSummary> bestFirst =
        Comparator.comparingInt(PoolSummary::waitMillis)
            .thenComparingDouble(PoolSelector::load)
            .thenComparingInt(this::distance);
    return Optional.of(bestFirst.compare(first, second) <= 0 ? first.pool() : second.pool());
  }

  private PoolSummary draw(List<PoolSummary> usable) {
    int totalSize = usable.stream().mapToInt(PoolSelector::size).sum();
    int drawn = random.nextInt(totalSize);
    for (PoolSummary each : usable) {
      drawn -= size(each);
      if (drawn < 0) {
        return each;
      }
    }
    throw new IllegalStateException("expected a draw below " + totalSize);
  }

  private static int size(PoolSummary summary) {
    return Math.max(1, summary.limit());
  }

  private static double load(PoolSummary summary) {
    return 1 - (double) summary.freePlaces() / size(summary);
  }

  private int distance(PoolSummary summary) {
    return summary.pool().dataCentre().equals(dataCentre) ? 0 : 1;
  }
}
