package org.cuminrack.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Tracks the requests and calls in progress, for which a planned stop waits. Thread-safe. */
final class InFlight {
  private final Map<Long, String> descriptionsById = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();
  private volatile CountDownLatch idleLatch = new CountDownLatch(0);

  /**
   * Registers a request or call until the returned handle is run; running it again has no effect.
   */
  Runnable begin(String description) {
    long id = nextId.incrementAndGet();
    descriptionsById.put(id, description);
    return () -> end(id);
  }

  private void end(long id) {
    descriptionsById.remove(id);
    if (descriptionsById.isEmpty()) {
      idleLatch.countDown();
    }
  }

  int size() {
    return descriptionsById.size();
  }

  /** Returns a description of each request or call in progress. */
  Collection<String> descriptions() {
    return List.copyOf(descriptionsById.values());
  }

  /** Waits until nothing is in progress; returns false on timeout. */
  boolean awaitIdle(Duration timeout) throws InterruptedException {
    idleLatch = new CountDownLatch(1);
    if (descriptionsById.isEmpty()) {
      return true;
    }
    return idleLatch.await(timeout.toNanos(), TimeUnit.NANOSECONDS) || descriptionsById.isEmpty();
  }
}
