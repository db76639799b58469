package org.cuminrack.standin;

/** How warm an engine is: it warms by requests completed and by time spent in steps. */
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

  /** Returns 0 for an engine that has just started up to 1 for a warm one. */
  double share() {
    double byWork = ratio(completions, profile.warmUpCompletions());
    double byTime = ratio(busyNanos, profile.warmUpMillis() * NANOS_PER_MILLI);
    return Math.min(1, Math.max(byWork, byTime));
  }

  boolean isWarm() {
    return share() >= 1;
  }

  /** Returns the concurrent requests that the engine carries at this warmth. */
  int carries() {
    int range = profile.warmLimit() - profile.coldLimit();
    return profile.coldLimit() + (int) Math.floor(range * share());
  }

  /** Returns how many times longer a step takes than a warm engine's. */
  double slowFactor() {
    return 1 + (profile.coldSlowFactor() - 1) * (1 - share());
  }

  void completed() {
    completions++;
  }

  void worked(long nanos) {
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
