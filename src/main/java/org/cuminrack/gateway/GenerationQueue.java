package org.cuminrack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Generations that wait for engine memory: the most urgent first, and within a priority the one
 * that came first. Safe for use by many threads. Lock order: this queue, then what an attempt
 * takes.
 */
final class GenerationQueue {
  private final List<Waiting> waiting = new ArrayList<>();
  private long lastNumber;

  /**
   * Waits for a place.
   *
   * @param priority 0 is the most urgent
   * @param attempt tries to get a place; true if it got one
   * @return a handle to leave the queue with; empty where the attempt succeeded at once
   */
  synchronized Optional<Runnable> enter(int priority, BooleanSupplier attempt) {
    boolean nobodyIsBefore = waiting.stream().allMatch(each -> each.priority > priority);
    if (nobodyIsBefore && attempt.getAsBoolean()) {
      return Optional.empty();
    }
    Waiting entry = new Waiting(priority, ++lastNumber, attempt);
    waiting.add(entry);
    waiting.sort(
        Comparator.comparingInt((Waiting each) -> each.priority)
            .thenComparingLong(each -> each.number));
    return Optional.of(() -> leave(entry));
  }

  private synchronized void leave(Waiting entry) {
    waiting.remove(entry);
  }

  /** Tries again for those who wait, in order, until one gets no place. */
  synchronized void retry() {
    while (!waiting.isEmpty() && waiting.get(0).attempt.getAsBoolean()) {
      waiting.remove(0);
    }
  }

  synchronized int size() {
    return waiting.size();
  }

  private record Waiting(int priority, long number, BooleanSupplier attempt) {}
}
