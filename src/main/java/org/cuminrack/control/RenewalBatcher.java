package org.cuminrack.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.time.Clock;

/**
 * Tells the other voters of renewals in batches: renewals that arrive while a batch is under way go
 * into the next one. Thread-safe.
 */
final class RenewalBatcher {
  private final RenewalExchange exchange;
  private final Clock clock;
  private Batch next = new Batch();
  private boolean sending;

  RenewalBatcher(RenewalExchange exchange, Clock clock) {
    this.exchange = exchange;
    this.clock = clock;
  }

  private static final class Batch {
    private final Map<Long, Long> arrivalNanosBySession = new HashMap<>();
    private final CompletableFuture<Boolean> shared = new CompletableFuture<>();
    private long term;
  }

  /** Completes with true once a majority of voters knows the renewal of a session. */
  CompletableFuture<Boolean> share(long term, long sessionId, long arrivalNanos) {
    Batch batch;
    synchronized (this) {
      batch = next;
      batch.term = Math.max(batch.term, term);
      batch.arrivalNanosBySession.merge(sessionId, arrivalNanos, Math::max);
      if (sending) {
        return batch.shared;
      }
      sending = true;
      next = new Batch();
    }
    send(batch);
    return batch.shared;
  }

  private void send(Batch batch) {
    long nowNanos = clock.nanoTime();
    Map<Long, Duration> ages = new HashMap<>();
    batch.arrivalNanosBySession.forEach(
        (session, arrival) -> ages.put(session, Duration.ofNanos(nowNanos - arrival)));
    exchange
        .share(batch.term, ages)
        .whenComplete(
            (known, failure) -> {
              sendNext();
              batch.shared.complete(failure == null && known);
            });
  }

  private void sendNext() {
    Batch batch;
    synchronized (this) {
      sending = !next.arrivalNanosBySession.isEmpty();
      if (!sending) {
        return;
      }
      batch = next;
      next = new Batch();
    }
    send(batch);
  }
}
