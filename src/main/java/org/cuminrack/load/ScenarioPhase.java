package org.cuminrack.load;

import java.time.Duration;
import java.util.Locale;

/** A phase of a scenario; a request belongs to the phase in which it arrives. */
public enum ScenarioPhase {
  /** The first two minutes of a run are warm-up and belong to no phase. */
  BEFORE(Duration.ofMinutes(2), Scenario.START),
  DURING(Scenario.START, Scenario.END),
  AFTER(Scenario.END, Duration.ofMinutes(10));

  private final Duration start;
  private final Duration end;

  ScenarioPhase(Duration start, Duration end) {
    this.start = start;
    this.end = end;
  }

  Duration end() {
    return end;
  }

  double seconds() {
    return (double) end.minus(start).toSeconds();
  }

  boolean contains(PlannedRequest request) {
    return request.arrivalNanos() >= start.toNanos() && request.arrivalNanos() < end.toNanos();
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
