package org.cuminrack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Queue of generations that wait for engine memory, ordered by priority and, within a priority, by
 * arrival. Thread-safe. Lock order: this queue before any lock that an attempt acquires.
 */
final class GenerationQueue {
  private final List<Entry> waiting = new ArrayList<>();
  private long lastSequence;

  /**
   * Attempts a reservation at once unless entries of the same or a more urgent priority wait;
   * otherwise, or if the attempt fails, adds an entry to the queue.
   *
   * @param service the service of the generation
   * @param priority 0 is the most urgent
   * @param attempt tries to reserve memory; returns whether it succeeded
   * @return an action that removes the entry from the queue; empty if the attempt succeeded at once
   */
  synchronized Optional<Runnable> enter(String service, int priority, BooleanSupplier attempt) {
    boolean noneAhead = waiting.stream().allMatch(queued -> queued.priority > priority);
    if (noneAhead && attempt.getAsBoolean()) {
      return Optional.empty();
    }
    Entry entry = new Entry(service, priority, ++lastSequence, attempt);
    waiting.add(entry);
    waiting.sort(
        Comparator.comparingInt((Entry queued) -> queued.priority)
            .thenComparingLong(queued -> queued.sequence));
    return Optional.of(() -> leave(entry));
  }

  private synchronized void leave(Entry entry) {
    waiting.remove(entry);
  }

  /** Attempts the reservations of the waiting entries in order, until one fails. */
  synchronized void retry() {
    while (!waiting.isEmpty() && waiting.get(0).attempt.getAsBoolean()) {
      waiting.remove(0);
    }
  }

  /** Returns the services of the waiting entries. */
  synchronized Set<String> waitingServices() {
    return waiting.isEmpty()
        ? Set.of()
        : waiting.stream().map(Entry::service).collect(Collectors.toUnmodifiableSet());
  }

  synchronized int size() {
    return waiting.size();
  }

  private record Entry(String service, int priority, long sequence, BooleanSupplier attempt) {}
}
