package org.cuminrack.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Picks the block hashes that are worth sending: at block counts 1, 2, 3, 4, 6, 8, 12, 16, … so
 * that a long prompt costs a few dozen hashes. The counts do not depend on the prompt's length, so
 * that prompts with a common prefix have common hashes.
 */
final class PrefixSample {
  private PrefixSample() {}

  static List<Long> of(List<Long> hashes) {
    List<Long> sample = new ArrayList<>();
    for (int blocks = 1; blocks <= hashes.size(); blocks = next(blocks)) {
      sample.add(hashes.get(blocks - 1));
    }
    return sample;
  }

  private static int next(int blocks) {
    int power = Integer.highestOneBit(blocks);
    boolean isPower = power == blocks;
    if (blocks == 1) {
      return 2;
    }
    return isPower ? blocks + blocks / 2 : power * 2;
  }
}
