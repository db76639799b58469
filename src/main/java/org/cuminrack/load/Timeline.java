package org.cuminrack.load;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler that runs actions in order of simulated time, and actions of the same
 * instant in the order in which they were scheduled.
 */
final class Timeline {
  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long nowNanos;
  private long nextSequence;

  /** A scheduled action. */
  private record Entry(long atNanos, long sequence, Runnable action) implements Comparable<Entry> {

    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  long nowNanos() {
    return nowNanos;
  }

  void at(long atNanos, Runnable action) {
    entries.add(new Entry(Math.max(atNanos, nowNanos), nextSequence++, action));
  }

  void after(long nanos, Runnable action) {
    at(nowNanos + nanos, action);
  }

  /** Repeats an action at a fixed interval. */
  void every(long nanos, Runnable action) {
    after(
        nanos,
        () -> {
          action.run();
          every(nanos, action);
        });
  }

  /** Runs all actions scheduled up to and including an instant, and advances the time to it. */
  void runUntil(long untilNanos) {
    while (!entries.isEmpty() && entries.peek().atNanos() <= untilNanos) {
      Entry next = entries.poll();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = untilNanos;
  }
}
