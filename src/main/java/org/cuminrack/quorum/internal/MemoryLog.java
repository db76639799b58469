package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries after the last snapshot (and some before it), with the voter sets among them. */
final class MemoryLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, VoterSet> voters = new TreeMap<>();
  private long previousIndex;
  private long previousTerm;

  /** Starts anew after a snapshot. */
  void reset(SnapshotImage image) {
    entries.clear();
    voters.clear();
    voters.put(image.index(), image.voters());
    previousIndex = image.index();
    previousTerm = image.term();
  }

  /** The index before the first entry that is still here. */
  long previousIndex() {
    return previousIndex;
  }

  long lastIndex() {
    return previousIndex + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Tells whether the term at an index is known. */
  boolean knows(long index) {
    return index >= previousIndex && index <= lastIndex();
  }

  long termAt(long index) {
    if (!knows(index)) {
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
    if (entry.kind() == EntryKind.VOTERS) {
      voters.put(entry.index(), VoterSet.decode(entry.data()));
    }
  }

  /** Drops the entries from an index on. */
  void truncateFrom(long index) {
    entries.subList((int) (index - previousIndex - 1), entries.size()).clear();
    voters.tailMap(index, true).clear();
  }

  /** Drops the entries up to an index, which must be covered by a snapshot. */
  void compactTo(long index) {
    if (index <= previousIndex) {
      return;
    }
    long term = termAt(index);
    Map.Entry<Long, VoterSet> base = voters.floorEntry(index);
    entries.subList(0, (int) (index - previousIndex)).clear();
    voters.headMap(base.getKey(), false).clear();
    previousIndex = index;
    previousTerm = term;
  }

  /** Returns entries from an index on, at least one if there is one, up to a number of bytes. */
  List<LogEntry> from(long index, int maxBytes) {
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

  /** The index of the entry that set the present voters. */
  long votersIndex() {
    return voters.lastKey();
  }

  VoterSet votersAt(long index) {
    return voters.floorEntry(index).getValue();
  }

  /** The first index that has the same term as the given one. */
  long firstOfTerm(long index) {
    long first = index;
    while (first - 1 > previousIndex && termAt(first - 1) == termAt(index)) {
      first--;
    }
    return first;
  }
}
