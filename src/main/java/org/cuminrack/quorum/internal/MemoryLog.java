package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The in-memory tail of the log: the entries after the last snapshot, some retained entries before
 * it, and the voter sets in effect.
 */
final class MemoryLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, VoterSet> voters = new TreeMap<>();
  private long previousIndex;
  private long previousTerm;
  private boolean hasCommands;

  /** Discards all entries and continues after a snapshot. */
  void reset(SnapshotImage image) {
    entries.clear();
    voters.clear();
    voters.put(image.index(), image.voters());
    previousIndex = image.index();
    previousTerm = image.term();
    hasCommands = image.index() > 0;
  }

  /** Returns whether the log has, or had, an entry with a command. */
  boolean hasCommands() {
    return hasCommands;
  }

  /** Returns the index before the first retained entry. */
  long previousIndex() {
    return previousIndex;
  }

  long lastIndex() {
    return previousIndex + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns whether the term at an index is known. */
  boolean hasTermAt(long index) {
    return index >= previousIndex && index <= lastIndex();
  }

  long termAt(long index) {
    if (!hasTermAt(index)) {
      throw new IllegalStateException(
          "index: expected " + previousIndex + " to " + lastIndex() + ", found " + index);
    }
    return index == previousIndex ? previousTerm : get(index).term();
  }

  LogEntry get(long index) {
    return entries.get((int) (index - previousIndex - 1));
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException(
          "entry: expected index " + (lastIndex() + 1) + ", found " + entry.index());
    }
    entries.add(entry);
    hasCommands |= entry.kind() == EntryKind.COMMAND;
    if (entry.kind() == EntryKind.VOTERS) {
      voters.put(entry.index(), VoterSet.decode(entry.data()));
    }
  }

  /** Removes the entries from an index on. */
  void truncateFrom(long index) {
    entries.subList((int) (index - previousIndex - 1), entries.size()).clear();
    voters.tailMap(index, true).clear();
  }

  /** Removes the entries up to an index, which must be covered by a snapshot. */
  void compactTo(long index) {
    if (index <= previousIndex) {
      return;
    }
    long term = termAt(index);
    Map.Entry<Long, VoterSet> effectiveVoters = voters.floorEntry(index);
    entries.subList(0, (int) (index - previousIndex)).clear();
    voters.headMap(effectiveVoters.getKey(), false).clear();
    previousIndex = index;
    previousTerm = term;
  }

  /**
   * Returns entries from an index on, limited to a number of bytes; returns at least one entry if
   * any exists.
   */
  List<LogEntry> entriesFrom(long index, int maxBytes) {
    List<LogEntry> batch = new ArrayList<>();
    int bytes = 0;
    for (long i = index; i <= lastIndex(); i++) {
      LogEntry entry = get(i);
      bytes += entry.data().length;
      if (!batch.isEmpty() && bytes > maxBytes) {
        break;
      }
      batch.add(entry);
    }
    return batch;
  }

  VoterSet voters() {
    return voters.lastEntry().getValue();
  }

  /** Returns the index of the entry that set the current voters. */
  long votersIndex() {
    return voters.lastKey();
  }

  VoterSet votersAt(long index) {
    return voters.floorEntry(index).getValue();
  }

  /** Returns the first retained index that has the same term as the given index. */
  long firstIndexWithTermOf(long index) {
    long first = index;
    while (first - 1 > previousIndex && termAt(first - 1) == termAt(index)) {
      first--;
    }
    return first;
  }
}
