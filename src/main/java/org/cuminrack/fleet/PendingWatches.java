package org.cuminrack.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.time.Clock;

/**
 * Long-poll watch calls of gateways that wait for a change. Thread-safe; no callback runs under the
 * lock.
 */
final class PendingWatches {
  private final WatchResponses responses;
  private final Timer timer;
  private final Clock clock;
  private final List<PendingWatch> waiting = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param responses builds the response to a call when it is completed
   */
  PendingWatches(WatchResponses responses, Timer timer, Clock clock) {
    this.responses = responses;
    this.timer = timer;
    this.clock = clock;
  }

  /**
   * Adds a call, which is answered by {@link #respondToAll} or when the maximum wait has passed.
   */
  CompletableFuture<byte[]> add(WatchCall call, Duration maxWait) {
    PendingWatch pending = new PendingWatch(call, clock.nanoTime(), new CompletableFuture<>());
    synchronized (this) {
      waiting.add(pending);
    }
    if (!timer.runAfter(maxWait, () -> respondAfterTimeout(pending))) {
      respondAfterTimeout(pending);
    }
    return pending.reply;
  }

  private void respondAfterTimeout(PendingWatch pending) {
    synchronized (this) {
      waiting.remove(pending);
    }
    respond(pending);
  }

  /** Responds to all pending calls. */
  void respondToAll() {
    List<PendingWatch> watches;
    synchronized (this) {
      watches = List.copyOf(waiting);
      waiting.clear();
    }
    watches.forEach(this::respond);
  }

  private void respond(PendingWatch pending) {
    if (!pending.reply.isDone()) {
      pending.reply.complete(responses.build(pending.call, pending.receivedNanos));
    }
  }

  private record PendingWatch(
      WatchCall call, long receivedNanos, CompletableFuture<byte[]> reply) {}
}
