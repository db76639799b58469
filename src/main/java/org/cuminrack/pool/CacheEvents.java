package org.cuminrack.pool;

import java.util.List;

/**
 * Changes of an upstream's prefix cache; delayed and possibly incomplete.
 *
 * @param stored hashes of blocks added to the cache
 * @param removed hashes of blocks removed from the cache
 */
public record CacheEvents(
    String upstream, String bootId, long sequence, List<Long> stored, List<Long> removed) {

  /** Treats a missing list as empty. */
  public CacheEvents {
    stored = stored == null ? List.of() : List.copyOf(stored);
    removed = removed == null ? List.of() : List.copyOf(removed);
  }
}
