package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.time.Clock;

/** How far a stream has been passed on to its caller. Lives on one I/O thread. */
final class StreamProgress {
  private final Clock clock;
  private String lastEventId = "";
  private int events;
  private long lastEventNanos;

  StreamProgress(Clock clock) {
    this.clock = clock;
    this.lastEventNanos = clock.nanoTime();
  }

  /** Counts an event in; false where the caller has it already. */
  boolean takes(String id) {
    if (!id.isEmpty()) {
      if (!lastEventId.isEmpty() && !EventOrder.isAfter(id, lastEventId)) {
        return false;
      }
      lastEventId = id;
    }
    events++;
    touch();
    return true;
  }

  /** Begins to wait for the next event anew. */
  void touch() {
    lastEventNanos = clock.nanoTime();
  }

  String lastEventId() {
    return lastEventId;
  }

  int events() {
    return events;
  }

  /** Returns how long no event has come. */
  Duration quiet() {
    return Duration.ofNanos(clock.nanoTime() - lastEventNanos);
  }
}
