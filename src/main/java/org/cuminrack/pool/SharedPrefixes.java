package org.cuminrack.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the prompt prefixes of the requests that run on one upstream. A prefix shared by several
 * requests occupies memory once.
 */
final class SharedPrefixes {
  private static final int MIN_REQUESTS_SHARING = 2;

  private final Map<Long, Integer> requestCounts = new HashMap<>();
  private int sharedTokens;

  void add(List<Long> sample) {
    for (int index = 0; index < sample.size(); index++) {
      int count = requestCounts.merge(sample.get(index), 1, Integer::sum);
      sharedTokens += count == MIN_REQUESTS_SHARING ? tokensAt(index) : 0;
    }
  }

  void remove(List<Long> sample) {
    for (int index = 0; index < sample.size(); index++) {
      int remaining = requestCounts.merge(sample.get(index), -1, Integer::sum);
      sharedTokens -= remaining == MIN_REQUESTS_SHARING - 1 ? tokensAt(index) : 0;
      if (remaining == 0) {
        requestCounts.remove(sample.get(index));
      }
    }
  }

  /** Returns the tokens of prefixes that at least two requests share, each counted once. */
  int sharedTokens() {
    return sharedTokens;
  }

  /** Returns how many tokens of a running request's prompt are shared with other requests. */
  int sharedTokensOf(List<Long> sample) {
    return tokensSharedBy(MIN_REQUESTS_SHARING, sample);
  }

  /** Returns how many tokens of a new prompt are in memory because running requests share them. */
  int tokensInMemoryOf(List<Long> sample) {
    return tokensSharedBy(1, sample);
  }

  /** Returns the tokens of the longest prefix that at least {@code minRequests} requests have. */
  private int tokensSharedBy(int minRequests, List<Long> sample) {
    int low = 0;
    int high = sample.size();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      boolean shared = requestCounts.getOrDefault(sample.get(middle - 1), 0) >= minRequests;
      low = shared ? middle : low;
      high = shared ? high : middle - 1;
    }
    return PrefixSample.tokensOf(low);
  }

  private static int tokensAt(int index) {
    return PrefixSample.tokensOf(index + 1) - PrefixSample.tokensOf(index);
  }
}
