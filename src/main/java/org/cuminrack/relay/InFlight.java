package org.cuminrack.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Tracks the work in progress, which a planned stop waits for. Thread-safe. */
final class InFlight {
  private final Map<Long, String> work = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();
  private volatile CountDownLatch idle = new CountDownLatch(0);

  /** Registers work until the returned handle is run; running it again has no effect. */
  Runnable begin(String description) {
    long id = nextId.incrementAndGet();
    work.put(id, description);
    return () -> end(id);
  }

  private void end(long id) {
    work.remove(id);
    if (work.isEmpty()) {
      idle.countDown();
    }
  }

  int size() {
    return work.size();
  }

  /** Returns a description of each registered work item. */
  Collection<String> descriptions() {
    return List.copyOf(work.values());
  }

  /** Waits until no work is in flight; returns false on timeout. */
  boolean awaitIdle(Duration timeout) throws InterruptedException {
    idle = new CountDownLatch(1);
    if (work.isEmpty()) {
      return true;
    }
    return idle.await(timeout.toNanos(), TimeUnit.NANOSECONDS) || work.isEmpty();
  }
}
