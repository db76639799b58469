package org.cuminrack.standin;

import java.util.List;

/**
 * Blocks added to and evicted from the prefix cache.
 *
 * @param stored hashes of blocks that can now be reused
 * @param removed hashes of blocks that are no longer cached
 */
public record CacheChange(List<Long> stored, List<Long> removed) {

  /** Returns a change without blocks. */
  public static CacheChange none() {
    return new CacheChange(List.of(), List.of());
  }

  /** Returns whether no blocks changed. */
  public boolean isEmpty() {
    return stored.isEmpty() && removed.isEmpty();
  }
}
