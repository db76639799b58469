package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * The blocks of an engine's key-value memory. A block is private to one sequence, shared by its
 * hash, idle (shared, used by nobody, kept as prefix cache) or free. Idle blocks give way to new
 * ones, the longest unused first. Not safe for use by many threads.
 */
final class KeyValueMemory {
  private final int totalBlocks;
  private final Map<Long, Integer> sharedUsers = new HashMap<>();
  private final LinkedHashSet<Long> idle = new LinkedHashSet<>();
  private int privateBlocks;
  private List<Long> stored = new ArrayList<>();
  private List<Long> removed = new ArrayList<>();

  KeyValueMemory(int totalBlocks) {
    this.totalBlocks = totalBlocks;
  }

  int usedBlocks() {
    return privateBlocks + sharedUsers.size();
  }

  int totalBlocks() {
    return totalBlocks;
  }

  /** Returns how many of the leading blocks are in memory. */
  int cachedPrefix(List<Long> hashes) {
    int length = 0;
    while (length < hashes.size() && isCached(hashes.get(length))) {
      length++;
    }
    return length;
  }

  /** Returns how many blocks are free once these leading blocks are in use. */
  int availableBeside(List<Long> prefix) {
    int wakened = 0;
    for (Long hash : prefix) {
      if (idle.contains(hash)) {
        wakened++;
      }
    }
    return totalBlocks - usedBlocks() - wakened;
  }

  /** Takes one more use of a block that is in memory. */
  void share(long hash) {
    idle.remove(hash);
    sharedUsers.merge(hash, 1, Integer::sum);
  }

  /** Takes private blocks; false, and nothing taken, where there are not as many. */
  boolean takePrivate(int blocks) {
    if (totalBlocks - usedBlocks() < blocks) {
      return false;
    }
    privateBlocks += blocks;
    evictOverflow();
    return true;
  }

  /** Makes a private block shared under its hash, or joins the one that is there. */
  void publish(long hash) {
    privateBlocks--;
    if (!isCached(hash)) {
      stored.add(hash);
    }
    share(hash);
  }

  void releasePrivate(int blocks) {
    privateBlocks -= blocks;
  }

  void releaseShared(long hash) {
    int users = sharedUsers.merge(hash, -1, Integer::sum);
    if (users == 0) {
      sharedUsers.remove(hash);
      idle.add(hash);
    }
  }

  /** Forgets the idle blocks. */
  void clearCache() {
    removed.addAll(idle);
    idle.clear();
  }

  /** Returns what changed in the cache since the last call. */
  CacheChange drainChange() {
    CacheChange change = new CacheChange(stored, removed);
    stored = new ArrayList<>();
    removed = new ArrayList<>();
    return change;
  }

  private boolean isCached(long hash) {
    return sharedUsers.containsKey(hash) || idle.contains(hash);
  }

  private void evictOverflow() {
    while (usedBlocks() + idle.size() > totalBlocks) {
      Long oldest = idle.iterator().next();
      idle.remove(oldest);
      removed.add(oldest);
    }
  }
}
