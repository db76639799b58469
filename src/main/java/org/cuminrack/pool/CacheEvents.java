package org.cuminrack.pool;

import java.util.List;

/**
 * Changes of an upstream's prefix cache; late, and some are missing.
 *
 * @param stored hashes of blocks that it now holds
 * @param removed hashes of blocks that it dropped
 */
public record CacheEvents(
    String upstream, String bootId, long sequence, List<Long> stored, List<Long> removed) {

  /** Takes a list that was left out as empty. */
  public CacheEvents {
    stored = stored == null ? List.of() : List.copyOf(stored);
    removed = removed == null ? List.of() : List.copyOf(removed);
  }
}
