package org.cuminrack.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps prompt blocks to the upstreams that cache them. The index is only a hint, as cache events
 * are delayed and may be lost. A set of upstreams is a bit mask of their slots. Bounded: the least
 * recently used blocks are evicted.
 */
final class PrefixIndex {
  private static final int MAX_BLOCKS = 65_536;

  private final Map<Long, Long> upstreamsByBlock =
      new LinkedHashMap<>(1024, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_BLOCKS;
        }
      };

  void add(int upstreamSlot, List<Long> hashes) {
    long bit = 1L << upstreamSlot;
    hashes.forEach(hash -> upstreamsByBlock.merge(hash, bit, (slots, added) -> slots | added));
  }

  void remove(int upstreamSlot, List<Long> hashes) {
    hashes.forEach(hash -> removeSlot(hash, upstreamSlot));
  }

  /** Removes all blocks of an upstream. */
  void clear(int upstreamSlot) {
    long otherSlots = ~(1L << upstreamSlot);
    upstreamsByBlock.replaceAll((hash, slots) -> slots & otherSlots);
    upstreamsByBlock.values().removeIf(slots -> slots == 0);
  }

  /**
   * Finds the longest prefix of a prompt that an upstream may cache.
   *
   * @param sample sampled hashes of the prompt's blocks, in order
   * @param slots bit mask of the upstreams to consider
   */
  PrefixMatch longestPrefix(List<Long> sample, long slots) {
    int low = 0;
    int high = sample.size();
    long matchingSlots = 0;
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      long middleSlots = upstreamsByBlock.getOrDefault(sample.get(middle - 1), 0L) & slots;
      if (middleSlots != 0) {
        matchingSlots = middleSlots;
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return new PrefixMatch(low, matchingSlots);
  }

  private void removeSlot(long hash, int upstreamSlot) {
    long otherSlots = ~(1L << upstreamSlot);
    upstreamsByBlock.computeIfPresent(
        hash, (key, slots) -> (slots & otherSlots) == 0 ? null : slots & otherSlots);
  }
}
