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
 * Which parts of the state changed at each of the newest revisions, so that a reader gets what
 * changed and not the whole. Kept in memory only. Not thread-safe.
 */
final class StateHistory {
  /** How many revisions are kept; a reader further behind gets the whole state. */
  static final int MAX_REVISIONS = 4_096;

  private final Deque<Step> steps = new ArrayDeque<>();
  private long base;

  /** Begins anew: nothing is known of what changed up to this revision. */
  void reset(long revision) {
    steps.clear();
    base = revision;
  }

  void add(Step step) {
    steps.addLast(step);
    if (steps.size() > MAX_REVISIONS) {
      base = steps.removeFirst().revision();
    }
  }

  /** Returns all that changed after a revision; empty where that is no longer known. */
  Optional<Changes> after(long revision) {
    if (revision < base) {
      return Optional.empty();
    }
    Changes changes =
        new Changes(new LinkedHashSet<>(), new LinkedHashSet<>(), new LinkedHashSet<>());
    Iterator<Step> newestFirst = steps.descendingIterator();
    while (newestFirst.hasNext()) {
      Step step = newestFirst.next();
      if (step.revision() <= revision) {
        break;
      }
      changes.keys().addAll(step.keys());
      changes.sessions().addAll(step.sessions());
      changes.fingerprints().addAll(step.fingerprints());
    }
    return Optional.of(changes);
  }

  /** What changed at one revision. */
  record Step(
      long revision,
      Collection<ConfigKey> keys,
      Collection<Long> sessions,
      Collection<String> fingerprints) {

    static Step ofKeys(long revision, Collection<ConfigKey> keys) {
      return new Step(revision, keys, List.of(), List.of());
    }

    static Step ofSessions(long revision, Collection<Long> sessions) {
      return new Step(revision, List.of(), sessions, List.of());
    }

    static Step ofFingerprints(long revision, Collection<String> fingerprints) {
      return new Step(revision, List.of(), List.of(), fingerprints);
    }
  }

  /** What changed over several revisions. */
  record Changes(Set<ConfigKey> keys, Set<Long> sessions, Set<String> fingerprints) {}
}
