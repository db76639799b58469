package org.cuminrack.control;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cuminrack.time.Clock;

/**
 * Readers that wait for the state to move, each at most until its deadline. A newer wait under the
 * same name ends the older one, so that they are bounded by the readers. Safe for use by many
 * threads; answers are made outside its lock.
 */
final class Waiters {
  /** The most waits at one time; the oldest is ended where there are more. */
  static final int MAX_WAITERS = 4_096;

  private final Clock clock;
  private final Map<String, Waiter> waiters = new LinkedHashMap<>();

  Waiters(Clock clock) {
    this.clock = clock;
  }

  /** Answers at once where that is possible, else adds a wait that {@link #check} completes. */
  CompletableFuture<byte[]> addOrAnswer(
      String name, long deadlineNanos, BooleanSupplier isReady, Supplier<byte[]> answer) {
    Waiter waiter = new Waiter(deadlineNanos, isReady, answer, new CompletableFuture<>());
    Waiter replaced;
    if (waiter.isDone(clock.nanoTime())) {
      waiter.complete();
      return waiter.future();
    }
    synchronized (this) {
      replaced = waiters.put(name, waiter);
      if (replaced == null && waiters.size() > MAX_WAITERS) {
        Iterator<Waiter> oldest = waiters.values().iterator();
        replaced = oldest.next();
        oldest.remove();
      }
    }
    if (replaced != null) {
      replaced.complete();
    }
    if (waiter.isDone(clock.nanoTime())) {
      waiter.complete();
    }
    return waiter.future();
  }

  /** Answers every wait that is ready or whose deadline has come. */
  void check() {
    takeDone().forEach(Waiter::complete);
  }

  private synchronized List<Waiter> takeDone() {
    long nowNanos = clock.nanoTime();
    List<Waiter> done =
        waiters.values().stream()
            .filter(each -> each.isDone(nowNanos))
            .collect(Collectors.toList());
    waiters.values().removeAll(done);
    return done;
  }

  private record Waiter(
      long deadlineNanos,
      BooleanSupplier isReady,
      Supplier<byte[]> answer,
      CompletableFuture<byte[]> future) {

    boolean isDone(long nowNanos) {
      return nowNanos - deadlineNanos >= 0 || isReady.getAsBoolean();
    }

    void complete() {
      if (!future.isDone()) {
        future.complete(answer.get());
      }
    }
  }
}
