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
 * Long-poll reads that wait for a state change, each until its deadline at most. A newer read of
 * the same reader completes the older one, so the number of pending reads is bounded by the number
 * of readers. Thread-safe; replies are built outside the lock.
 */
final class PendingReads {
  /** The most pending reads; beyond that the oldest is completed early. */
  static final int MAX_PENDING_READS = 4_096;

  private final Clock clock;
  private final Map<String, PendingRead> reads = new LinkedHashMap<>();

  PendingReads(Clock clock) {
    this.clock = clock;
  }

  /** Answers immediately if the read is due, else adds it for {@link #completeDue} to complete. */
  CompletableFuture<byte[]> replyOrAdd(
      String reader, long deadlineNanos, BooleanSupplier isReady, Supplier<byte[]> reply) {
    PendingRead read = new PendingRead(deadlineNanos, isReady, reply, new CompletableFuture<>());
    PendingRead replaced;
    if (read.isDue(clock.nanoTime())) {
      read.complete();
      return read.future();
    }
    synchronized (this) {
      replaced = reads.put(reader, read);
      if (replaced == null && reads.size() > MAX_PENDING_READS) {
        Iterator<PendingRead> oldest = reads.values().iterator();
        replaced = oldest.next();
        oldest.remove();
      }
    }
    if (replaced != null) {
      replaced.complete();
    }
    if (read.isDue(clock.nanoTime())) {
      read.complete();
    }
    return read.future();
  }

  /** Completes every read that is ready or past its deadline. */
  void completeDue() {
    removeDue().forEach(PendingRead::complete);
  }

  private synchronized List<PendingRead> removeDue() {
    long nowNanos = clock.nanoTime();
    List<PendingRead> due =
        reads.values().stream().filter(read -> read.isDue(nowNanos)).collect(Collectors.toList());
    reads.values().removeAll(due);
    return due;
  }

  private record PendingRead(
      long deadlineNanos,
      BooleanSupplier isReady,
      Supplier<byte[]> reply,
      CompletableFuture<byte[]> future) {

    boolean isDue(long nowNanos) {
      return nowNanos - deadlineNanos >= 0 || isReady.getAsBoolean();
    }

    void complete() {
      if (!future.isDone()) {
        future.complete(reply.get());
      }
    }
  }
}
