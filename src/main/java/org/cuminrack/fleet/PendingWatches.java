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
  private final Function<WatchCall, byte[]> buildResponse;
  private final List<PendingWatch> waiting = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param buildResponse builds the response to a call when it is completed
   */
  PendingWatches(Function<WatchCall, byte[]> buildResponse) {
    this.buildResponse = buildResponse;
  }

  /**
   * Adds a call, which is answered by {@link #respondToAll} or when the maximum wait has passed.
   */
  CompletableFuture<byte[]> add(WatchCall call, Duration maxWait, ScheduledExecutorService timer) {
    PendingWatch pending = new PendingWatch(call, new CompletableFuture<>());
    synchronized (this) {
      waiting.add(pending);
    }
    timer.schedule(() -> respondAfterTimeout(pending), maxWait.toMillis(), TimeUnit.MILLISECONDS);
    return pending.reply;
  }

  private void respondAfterTimeout(PendingWatch pending) {
    synchronized (this) {
      waiting.remove(pending);
    }
    pending.reply.complete(buildResponse.apply(pending.call));
  }

  /** Responds to all pending calls. */
  void respondToAll() {
    List<PendingWatch> watches;
    synchronized (this) {
      watches = List.copyOf(waiting);
      waiting.clear();
    }
    watches.forEach(pending -> pending.reply.complete(buildResponse.apply(pending.call)));
  }

  private record PendingWatch(WatchCall call, CompletableFuture<byte[]> reply) {}
}
