package org.cuminrack.pace;

import java.time.Duration;

/**
 * The moving estimate of the slowdown of one start of an upstream. Works on logarithms, so that
 * half and double the usual duration weigh the same. Not thread-safe.
 */
final class PaceEstimate {
  /** Long enough for samples of all gateways, short enough to follow a change within the minute. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(10);

  /** Weight of the assumption that an upstream is as fast as usual. */
  private static final double PRIOR_SAMPLES = 2;

  /** How long a stated slowdown says something about the next request. */
  private static final Duration STATED_VALIDITY = Duration.ofMillis(300);

  /** Statements needed before one of them can be told from what the upstream usually states. */
  private static final double MIN_STATEMENTS = 4;

  private static final double MIN_STATED_FACTOR = 0.5;
  private static final double MAX_STATED_FACTOR = 3;

  /**
   * Other gateways' observations that are not newer than the last one by this are the same, told
   * again: ages are measured on other clocks and rounded.
   */
  private static final long SAME_OBSERVATION_NANOS = Duration.ofMillis(20).toNanos();

  private final DecayingMean all = new DecayingMean(HALF_LIFE);
  private final DecayingMean own = new DecayingMean(HALF_LIFE);
  private final DecayingMean stated = new DecayingMean(HALF_LIFE);
  private int ownSamples;
  private double lastStatedLog;
  private boolean hasRemote;
  private long remoteNanos;

  void addOwn(double slowdown, long nowNanos) {
    all.add(Math.log(slowdown), nowNanos);
    own.add(Math.log(slowdown), nowNanos);
    ownSamples++;
  }

  /** Adds an observation of another gateway, unless it is known. */
  void addRemote(double slowdown, long observedNanos, long nowNanos) {
    if (!hasRemote || observedNanos - remoteNanos > SAME_OBSERVATION_NANOS) {
      hasRemote = true;
      remoteNanos = observedNanos;
      all.add(Math.log(slowdown), nowNanos);
    }
  }

  void addStated(double slowdown, long nowNanos) {
    lastStatedLog = Math.log(slowdown);
    stated.add(lastStatedLog, nowNanos);
  }

  Pace pace(long nowNanos) {
    double slowdown = Math.exp(all.mean(PRIOR_SAMPLES, nowNanos)) * statedFactor(nowNanos);
    return new Pace(slowdown, all.weight(nowNanos));
  }

  /**
   * Returns the factor between now and this upstream's usual. Only the change against what the
   * upstream has stated before counts, since its permanent pace is in the learned one already.
   */
  private double statedFactor(long nowNanos) {
    double age = stated.ageNanos(nowNanos);
    if (stated.weight(nowNanos) < MIN_STATEMENTS || age >= STATED_VALIDITY.toNanos()) {
      return 1;
    }
    double factor = Math.exp(lastStatedLog - stated.mean(0, nowNanos));
    double bounded = Math.max(MIN_STATED_FACTOR, Math.min(MAX_STATED_FACTOR, factor));
    return Math.pow(bounded, 1 - age / STATED_VALIDITY.toNanos());
  }

  boolean hasOwn() {
    return ownSamples > 0;
  }

  /** Returns what this gateway has observed itself. */
  UpstreamPace ownPace(UpstreamStart start, long nowNanos) {
    return new UpstreamPace(
        start.upstreamId(),
        start.startedMillis(),
        Math.exp(own.mean(0, nowNanos)),
        ownSamples,
        ownAge(nowNanos));
  }

  Duration ownAge(long nowNanos) {
    return Duration.ofNanos(own.ageNanos(nowNanos));
  }

  /** Returns the time since the last sample or statement. */
  Duration age(long nowNanos) {
    return Duration.ofNanos(Math.min(all.ageNanos(nowNanos), stated.ageNanos(nowNanos)));
  }
}
