package org.cuminrack.control;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminrack.config.ConfigKey;

/**
 * The keys that changed at each recent revision, so that a reader can fetch a delta instead of the
 * full state. Kept in memory only. Not thread-safe.
 */
final class StateHistory {
  /** The most revisions kept; a reader further behind gets the full state. */
  static final int MAX_REVISIONS = 4_096;

  private final Deque<RevisionChange> history = new ArrayDeque<>();
  private long baseRevision;

  /** Clears the history; changes up to this revision are unknown. */
  void reset(long revision) {
    history.clear();
    baseRevision = revision;
  }

  void add(RevisionChange change) {
    history.addLast(change);
    if (history.size() > MAX_REVISIONS) {
      baseRevision = history.removeFirst().revision();
    }
  }

  /**
   * Returns everything that changed after a revision; empty if the history does not reach back so
   * far.
   */
  Optional<Changes> changesAfter(long revision) {
    if (revision < baseRevision) {
      return Optional.empty();
    }
    Changes changes =
        new Changes(new LinkedHashSet<>(), new LinkedHashSet<>(), new LinkedHashSet<>());
    Iterator<RevisionChange> newestFirst = history.descendingIterator();
    while (newestFirst.hasNext()) {
      RevisionChange change = newestFirst.next();
      if (change.revision() <= revision) {
        break;
      }
      changes.keys().addAll(change.keys());
      changes.sessions().addAll(change.sessions());
      changes.fingerprints().addAll(change.fingerprints());
    }
    return Optional.of(changes);
  }

  /** The keys that changed at one revision. */
  record RevisionChange(
      long revision,
      Collection<ConfigKey> keys,
      Collection<Long> sessions,
      Collection<String> fingerprints) {

    static RevisionChange ofKeys(long revision, Collection<ConfigKey> keys) {
      return new RevisionChange(revision, keys, List.of(), List.of());
    }

    static RevisionChange ofSessions(long revision, Collection<Long> sessions) {
      return new RevisionChange(revision, List.of(), sessions, List.of());
    }

    static RevisionChange ofFingerprints(long revision, Collection<String> fingerprints) {
      return new RevisionChange(revision, List.of(), List.of(), fingerprints);
    }
  }

  /** The keys that changed over several revisions. */
  record Changes(Set<ConfigKey> keys, Set<Long> sessions, Set<String> fingerprints) {}
}
