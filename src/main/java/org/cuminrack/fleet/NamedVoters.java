package org.cuminrack.fleet;

import java.util.Set;

/**
 * The voters that a control VM has named.
 *
 * @param index the index of the log entry that set them; 0 if unknown
 * @param addresses their wire addresses; empty if the answer named none
 */
record NamedVoters(long index, Set<String> addresses) {
  static final NamedVoters NONE = new NamedVoters(0, Set.of());

  /** Returns whether voters are named here, and set by a later entry than others. */
  boolean isNewerThan(NamedVoters others) {
    return !addresses.isEmpty() && (others.addresses.isEmpty() || index > others.index);
  }
}
