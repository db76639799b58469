package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cuminrack.generated.fleet.WatchCall;

/**
 * Long-poll watch calls of gateways that wait for a change. Thread-safe; no callback runs under the
 * lock.
 */
final class PendingWatches {
  private final Function<WatchCall, byte[]> answer;
  private final List<PendingWatch> waiting = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param answer builds the answer of a call when it is completed
   */
  PendingWatches(Function<WatchCall, byte[]> answer) {
    this.answer = answer;
  }

  /** Holds a call until {@link #answerAll}, at most for this long. */
  CompletableFuture<byte[]> hold(WatchCall call, Duration maxHold, ScheduledExecutorService timer) {
    PendingWatch pending = new PendingWatch(call, new CompletableFuture<>());
    synchronized (this) {
      waiting.add(pending);
    }
    timer.schedule(() -> answerAfterTimeout(pending), maxHold.toMillis(), TimeUnit.MILLISECONDS);
    return pending.reply;
  }

  private void answerAfterTimeout(PendingWatch pending) {
    synchronized (this) {
      waiting.remove(pending);
    }
    pending.reply.complete(answer.apply(pending.call));
  }

  /** Answers all pending calls. */
  void answerAll() {
    List<PendingWatch> drained;
    synchronized (this) {
      drained = List.copyOf(waiting);
      waiting.clear();
    }
    drained.forEach(pending -> pending.reply.complete(answer.apply(pending.call)));
  }

  private record PendingWatch(WatchCall call, CompletableFuture<byte[]> reply) {}
}
