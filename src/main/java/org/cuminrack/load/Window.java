package org.cuminrack.load;

import java.time.Duration;
import java.util.Locale;

/** A part of a scenario, by the arrival of requests. */
public enum Window {
  BEFORE(Duration.ofMinutes(2), Scenario.FROM),
  DURING(Scenario.FROM, Scenario.TO),
  AFTER(Scenario.TO, Duration.ofMinutes(10));

  private final Duration from;
  private final Duration to;

  Window(Duration from, Duration to) {
    this.from = from;
    this.to = to;
  }

  Duration to() {
    return to;
  }

  double seconds() {
    return (double) to.minus(from).toSeconds();
  }

  boolean holds(PlannedRequest request) {
    return request.atNanos() >= from.toNanos() && request.atNanos() < to.toNanos();
  }

  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
