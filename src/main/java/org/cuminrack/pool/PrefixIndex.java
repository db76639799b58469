package org.cuminrack.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which upstreams hold which blocks of prompts, as a hint: events come late, and some never. An
 * upstream is a bit of a long. Bounded: the blocks used least recently are forgotten.
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

  void stored(int upstreamSlot, List<Long> hashes) {
    long bit = 1L << upstreamSlot;
    hashes.forEach(hash -> holders.merge(hash, bit, (known, added) -> known | added));
  }

  void removed(int upstreamSlot, List<Long> hashes) {
    hashes.forEach(hash -> drop(hash, upstreamSlot));
  }

  /** Forgets all that an upstream held. */
  void cleared(int upstreamSlot) {
    long others = ~(1L << upstreamSlot);
    holders.replaceAll((hash, known) -> known & others);
    holders.values().removeIf(known -> known == 0);
  }

  /**
   * Finds the longest known prefix of a prompt.
   *
   * @param sample hashes of the prompt's blocks, the first first
   * @param slots bits of the upstreams that count
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
