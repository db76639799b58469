package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the block hashes of a prompt that are stored and sent. Each hash covers all blocks up to
 * its own, and so identifies a prefix of the prompt. Selected are the hashes of the prefixes of 1
 * to 8 blocks, then of four prefix lengths per doubling (10, 12, 14, 16, 20, … blocks), below
 * 65,536 blocks. This limits a long prompt to a few dozen hashes. The prefix lengths are the same
 * for all prompts, so prompts with a common prefix share hashes.
 */
final class PrefixSample {
  private static final int BLOCK_TOKENS = 16;
  private static final int STEPS_PER_DOUBLING = 4;
  private static final int[] BLOCK_COUNTS = blockCounts();

  private PrefixSample() {}

  /** Returns the sample, given the hashes of all blocks of a prompt. */
  static List<Long> of(List<Long> hashes) {
    List<Long> sample = new ArrayList<>();
    for (int index = 0;
        index < BLOCK_COUNTS.length && BLOCK_COUNTS[index] <= hashes.size();
        index++) {
      sample.add(hashes.get(BLOCK_COUNTS[index] - 1));
    }
    return sample;
  }

  /**
   * Returns the sample of a prompt, given the hashes of all its blocks or the sample itself. A list
   * with fewer hashes than the prompt has blocks is assumed to be the sample.
   */
  static List<Long> of(List<Long> hashes, int promptTokens) {
    boolean isComplete = hashes.size() >= promptTokens / BLOCK_TOKENS;
    return isComplete ? of(hashes) : hashes;
  }

  /** Returns the number of prompt tokens that the first hashes of a sample cover. */
  static int tokensOf(int hashCount) {
    return hashCount == 0
        ? 0
        : BLOCK_COUNTS[Math.min(hashCount, BLOCK_COUNTS.length) - 1] * BLOCK_TOKENS;
  }

  private static int[] blockCounts() {
    List<Integer> blockCounts = new ArrayList<>();
    int count = 1;
    while (count < 1 << 16) {
      blockCounts.add(count);
      count += Math.max(1, Integer.highestOneBit(count) / STEPS_PER_DOUBLING);
    }
    return blockCounts.stream().mapToInt(Integer::intValue).toArray();
  }
}
