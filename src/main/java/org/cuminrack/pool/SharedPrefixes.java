package org.cuminrack.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the prompt prefixes of the requests that run on one upstream. A prefix shared by several
 * requests is held in memory once.
 */
final class SharedPrefixes {
  private static final int MIN_HOLDERS_OF_SHARED = 2;

  private final Map<Long, Integer> holders = new HashMap<>();
  private int sharedTokens;

  void add(List<Long> sample) {
    for (int index = 0; index < sample.size(); index++) {
      int count = holders.merge(sample.get(index), 1, Integer::sum);
      sharedTokens += count == MIN_HOLDERS_OF_SHARED ? tokensAt(index) : 0;
    }
  }

  void remove(List<Long> sample) {
    for (int index = 0; index < sample.size(); index++) {
      int remaining = holders.merge(sample.get(index), -1, Integer::sum);
      sharedTokens -= remaining == MIN_HOLDERS_OF_SHARED - 1 ? tokensAt(index) : 0;
      if (remaining == 0) {
        holders.remove(sample.get(index));
      }
    }
  }

  /** Returns the tokens of prefixes that at least two requests share, each counted once. */
  int sharedTokens() {
    return sharedTokens;
  }

  /** Returns how many tokens of a running request's prompt are shared with other requests. */
  int sharedTokensOf(List<Long> sample) {
    return tokensHeldBy(MIN_HOLDERS_OF_SHARED, sample);
  }

  /** Returns how many tokens of a new prompt are already held in memory. */
  int heldTokensOf(List<Long> sample) {
    return tokensHeldBy(1, sample);
  }

  private int tokensHeldBy(int minHolders, List<Long> sample) {
    int from = 0;
    int to = sample.size();
    while (from < to) {
      int middle = (from + to + 1) >>> 1;
      boolean held = holders.getOrDefault(sample.get(middle - 1), 0) >= minHolders;
      from = held ? middle : from;
      to = held ? to : middle - 1;
    }
    return PrefixSample.tokensOf(from);
  }

  private static int tokensAt(int index) {
    return PrefixSample.tokensOf(index + 1) - PrefixSample.tokensOf(index);
  }
}
