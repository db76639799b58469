package org.cuminrack.gateway;

import java.time.Duration;
import org.cuminrack.time.Clock;

/** Tracks how much of a stream was forwarded to the caller. Confined to one I/O thread. */
final class StreamProgress {
  private final Clock clock;
  private String lastEventId = "";
  private int eventCount;
  private long lastEventNanos;

  StreamProgress(Clock clock) {
    this.clock = clock;
    this.lastEventNanos = clock.nanoTime();
  }

  /** Records an event, unless the caller already has it; returns whether the event is new. */
  boolean recordIfNew(String id) {
    if (!id.isEmpty()) {
      if (!lastEventId.isEmpty() && !EventOrder.isAfter(id, lastEventId)) {
        return false;
      }
      lastEventId = id;
    }
    eventCount++;
    resetTimeSinceLastEvent();
    return true;
  }

  /** Resets the time since the last event to zero. */
  void resetTimeSinceLastEvent() {
    lastEventNanos = clock.nanoTime();
  }

  String lastEventId() {
    return lastEventId;
  }

  int eventCount() {
    return eventCount;
  }

  /** Returns the time since the last event. */
  Duration sinceLastEvent() {
    return Duration.ofNanos(clock.nanoTime() - lastEventNanos);
  }
}
