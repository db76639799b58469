package org.cuminrack.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the pool to ask, by digests that are a little old: two are drawn by their size, and the
 * better of both is taken. Many entries with the same digests thus don't all go to the same pool.
 */
public final class PoolSelector {
  private final String dataCentre;
  private final RandomGenerator random;

  /**
   * @param dataCentre the data centre preferred between equals
   */
  public PoolSelector(String dataCentre, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /** Returns the pool to ask; empty where none has an upstream that may take work. */
  public Optional<PoolKey> choose(Collection<PoolDigest> digests) {
    List<PoolDigest> usable =
        digests.stream().filter(each -> each.availableUpstreams() > 0).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    PoolDigest one = draw(usable);
    PoolDigest other = draw(usable);
    Comparator<PoolDigest> order =
        Comparator.comparingInt(PoolDigest::waitMillis)
            .thenComparingDouble(PoolSelector::load)
            .thenComparingInt(this::distance);
    return Optional.of(order.compare(one, other) <= 0 ? one.pool() : other.pool());
  }

  private PoolDigest draw(List<PoolDigest> usable) {
    int total = usable.stream().mapToInt(PoolSelector::size).sum();
    int drawn = random.nextInt(total);
    for (PoolDigest each : usable) {
      drawn -= size(each);
      if (drawn < 0) {
        return each;
      }
    }
    throw new IllegalStateException("expected a draw below " + total);
  }

  private static int size(PoolDigest digest) {
    return Math.max(1, digest.limit());
  }

  private static double load(PoolDigest digest) {
    return 1 - (double) digest.freePlaces() / size(digest);
  }

  private int distance(PoolDigest digest) {
    return digest.pool().dataCentre().equals(dataCentre) ? 0 : 1;
  }
}
