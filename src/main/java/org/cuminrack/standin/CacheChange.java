package org.cuminrack.standin;

import java.util.List;

/**
 * Blocks that came into the prefix cache and went from it.
 *
 * @param stored hashes of blocks that can be reused now
 * @param removed hashes of blocks that are gone
 */
public record CacheChange(List<Long> stored, List<Long> removed) {

  /** Returns a change of nothing. */
  public static CacheChange none() {
    return new CacheChange(List.of(), List.of());
  }

  /** Tells whether nothing changed. */
  public boolean isEmpty() {
    return stored.isEmpty() && removed.isEmpty();
  }
}
