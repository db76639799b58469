package org.cuminrack.load;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler: runs actions in order of simulated time; actions of the same instant
 * in the order they were scheduled.
 */
final class Timeline {
  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long nowNanos;
  private long nextNumber;

  /** A scheduled action. */
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
    entries.add(new Entry(Math.max(atNanos, nowNanos), nextNumber++, action));
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
