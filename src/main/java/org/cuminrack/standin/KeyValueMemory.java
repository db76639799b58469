package org.cuminrack.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * The blocks of an engine's key-value memory. A block is private to one sequence, shared under its
 * hash, idle (unused, but kept as prefix cache) or free. Idle blocks are evicted for new ones,
 * least recently used first. Not thread-safe.
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

  /** Returns how many leading blocks of a prompt are in memory. */
  int cachedPrefixLength(List<Long> hashes) {
    int length = 0;
    while (length < hashes.size() && isCached(hashes.get(length))) {
      length++;
    }
    return length;
  }

  /** Returns how many blocks can be allocated once these cached blocks are in use. */
  int availableAfterSharing(List<Long> prefix) {
    int reactivated = 0;
    for (Long hash : prefix) {
      if (idle.contains(hash)) {
        reactivated++;
      }
    }
    return totalBlocks - usedBlocks() - reactivated;
  }

  /** Adds a user to a block that is in memory. */
  void share(long hash) {
    idle.remove(hash);
    sharedUsers.merge(hash, 1, Integer::sum);
  }

  /** Allocates private blocks; returns false and allocates none if too few are available. */
  boolean allocatePrivate(int blocks) {
    if (totalBlocks - usedBlocks() < blocks) {
      return false;
    }
    privateBlocks += blocks;
    evictOverflow();
    return true;
  }

  /** Turns a private block into a shared one, or adds a user to the shared block with its hash. */
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

  /** Evicts all idle blocks. */
  void clearCache() {
    removed.addAll(idle);
    idle.clear();
  }

  /** Returns the changes to the prefix cache since the last call. */
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
