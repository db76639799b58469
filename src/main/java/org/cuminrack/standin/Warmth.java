package org.cuminrack.standin;

/**
 * The warm-up state of an engine, which warms up with completed requests and time spent in steps.
 */
final class Warmth {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineProfile profile;
  private int completions;
  private long busyNanos;

  Warmth(EngineProfile profile, boolean warm) {
    this.profile = profile;
    if (warm) {
      makeWarm();
    }
  }

  /** Returns the warm-up progress, from 0 (just started) to 1 (warm). */
  double progress() {
    double byCompletions = ratio(completions, profile.warmUpCompletions());
    double byTime = ratio(busyNanos, profile.warmUpMillis() * NANOS_PER_MILLI);
    return Math.min(1, Math.max(byCompletions, byTime));
  }

  boolean isWarm() {
    return progress() >= 1;
  }

  /** Returns how many concurrent requests the engine can handle in this state. */
  int concurrencyLimit() {
    int range = profile.warmLimit() - profile.coldLimit();
    return profile.coldLimit() + (int) Math.floor(range * progress());
  }

  /** Returns the factor on the duration of a step, relative to a warm engine. */
  double slowFactor() {
    return 1 + (profile.coldSlowFactor() - 1) * (1 - progress());
  }

  void addCompletion() {
    completions++;
  }

  void addBusyNanos(long nanos) {
    busyNanos += nanos;
  }

  void makeCold() {
    completions = 0;
    busyNanos = 0;
  }

  void makeWarm() {
    completions = profile.warmUpCompletions();
    busyNanos = profile.warmUpMillis() * NANOS_PER_MILLI;
  }

  private static double ratio(long part, long whole) {
    if (whole <= 0) {
      return 1;
    }
    return (double) part / whole;
  }
}
