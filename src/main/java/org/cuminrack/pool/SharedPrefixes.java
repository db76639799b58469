package org.cuminrack.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The prefixes of the prompts that run on one upstream. A prefix that several of them have is held
 * in memory once.
 */
final class SharedPrefixes {
  private static final int SHARED = 2;

  private final Map<Long, Integer> holders = new HashMap<>();
  private int sharedTokens;

  void add(List<Long> sample) {
    for (int index = 0; index < sample.size(); index++) {
      int count = holders.merge(sample.get(index), 1, Integer::sum);
      sharedTokens += count == SHARED ? tokensAt(index) : 0;
    }
  }

  void remove(List<Long> sample) {
    for (int index = 0; index < sample.size(); index++) {
      int left = holders.merge(sample.get(index), -1, Integer::sum);
      sharedTokens -= left == SHARED - 1 ? tokensAt(index) : 0;
      if (left == 0) {
        holders.remove(sample.get(index));
      }
    }
  }

  /** Returns the tokens of prefixes that at least two hold, each counted once. */
  int sharedTokens() {
    return sharedTokens;
  }

  /** Returns how many tokens of a running prompt others hold too. */
  int sharedTokensOf(List<Long> sample) {
    return tokensHeldBy(SHARED, sample);
  }

  /** Returns how many tokens of a new prompt are held already. */
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
