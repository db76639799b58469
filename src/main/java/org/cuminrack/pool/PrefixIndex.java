package org.cuminrack.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps prompt blocks to the upstreams that cache them. The index is only a hint, as cache events
 * are delayed and may be lost. Upstreams are bits of a long. Bounded: the least recently used
 * blocks are evicted.
 */
final class PrefixIndex {
  private static final int MAX_BLOCKS = 65_536;

  private final Map<Long, Long> holders =
      new LinkedHashMap<>(1024, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_BLOCKS;
        }
      };

  void add(int upstreamSlot, List<Long> hashes) {
    long bit = 1L << upstreamSlot;
    hashes.forEach(hash -> holders.merge(hash, bit, (known, added) -> known | added));
  }

  void remove(int upstreamSlot, List<Long> hashes) {
    hashes.forEach(hash -> drop(hash, upstreamSlot));
  }

  /** Removes all blocks of an upstream. */
  void clear(int upstreamSlot) {
    long others = ~(1L << upstreamSlot);
    holders.replaceAll((hash, known) -> known & others);
    holders.values().removeIf(known -> known == 0);
  }

  /**
   * Finds the longest known prefix of a prompt.
   *
   * @param sample sampled hashes of the prompt's blocks, in order
   * @param slots bit mask of the upstreams to consider
   */
  PrefixMatch longest(List<Long> sample, long slots) {
    int from = 0;
    int to = sample.size();
    long found = 0;
    while (from < to) {
      int middle = (from + to + 1) >>> 1;
      long holding = holders.getOrDefault(sample.get(middle - 1), 0L) & slots;
      if (holding != 0) {
        found = holding;
        from = middle;
      } else {
        to = middle - 1;
      }
    }
    return new PrefixMatch(from, found);
  }

  private void drop(long hash, int upstreamSlot) {
    long others = ~(1L << upstreamSlot);
    holders.computeIfPresent(hash, (key, known) -> (known & others) == 0 ? null : known & others);
  }
}
