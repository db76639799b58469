package org.cuminrack.load;

import java.util.PriorityQueue;

/** Virtual time: runs what was put on it in order of time, then of being put there. */
final class Timeline {
  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long nowNanos;
  private long count;

  /** Something that happens at an instant. */
  private record Entry(long atNanos, long number, Runnable action) implements Comparable<Entry> {

    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  long nowNanos() {
    return nowNanos;
  }

  void at(long atNanos, Runnable action) {
    entries.add(new Entry(Math.max(atNanos, nowNanos), count++, action));
  }

  void after(long nanos, Runnable action) {
    at(nowNanos + nanos, action);
  }

  /** Repeats an action for as long as time runs on. */
  void every(long nanos, Runnable action) {
    after(
        nanos,
        () -> {
          action.run();
          every(nanos, action);
        });
  }

  /** Runs everything up to an instant. */
  void runUntil(long untilNanos) {
    while (!entries.isEmpty() && entries.peek().atNanos() <= untilNanos) {
      Entry next = entries.poll();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = untilNanos;
  }
}
