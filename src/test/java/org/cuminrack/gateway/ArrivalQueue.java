package org.cuminrack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** A queue by priority and arrival, with which orders of waiting prompts are compared. */
final class ArrivalQueue {
  private final List<Entry> waiting = new ArrayList<>();
  private long lastSequence;

  private record Entry(int priority, long sequence, BooleanSupplier attempt) {}

  /** Returns what removes the entry from the queue; empty if the attempt succeeded at once. */
  Optional<Runnable> enter(int priority, BooleanSupplier attempt) {
    boolean noneAhead = waiting.stream().allMatch(queued -> queued.priority > priority);
    if (noneAhead && attempt.getAsBoolean()) {
      return Optional.empty();
    }
    Entry entry = new Entry(priority, ++lastSequence, attempt);
    waiting.add(entry);
    waiting.sort(Comparator.comparingInt(Entry::priority).thenComparingLong(Entry::sequence));
    return Optional.of(() -> waiting.remove(entry));
  }

  /** Attempts the waiting entries in order, until one fails. */
  void retry() {
    while (!waiting.isEmpty() && waiting.get(0).attempt.getAsBoolean()) {
      waiting.remove(0);
    }
  }
}
