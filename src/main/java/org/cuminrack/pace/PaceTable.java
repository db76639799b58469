package org.cuminrack.pace;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import org.cuminrack.time.Clock;

/**
 * Learns the pace of upstreams from the durations of their work, compared with the usual duration
 * of the same work at the service, and from what other gateways have observed. A new start of an
 * upstream begins anew.
 *
 * <p>Thread-safe: one lock.
 */
public final class PaceTable implements PaceSharing {
  /** Time without a sample after which an upstream is forgotten. */
  private static final Duration FORGET_AFTER = Duration.ofMinutes(2);

  /** How old an observation may be that other gateways are told or that is taken from them. */
  private static final Duration MAX_SHARED_AGE = Duration.ofSeconds(20);

  /**
   * How long a service counts as one whose upstreams state their pace, after the last statement.
   */
  private static final Duration STATED_TTL = Duration.ofMinutes(10);

  /** Bounds of one sample, against stalls of this process and clocks of others. */
  private static final double MIN_SLOWDOWN = 0.1;

  private static final double MAX_SLOWDOWN = 10;

  /** Most starts that are remembered; more than the upstreams of a large fleet. */
  private static final int MAX_STARTS = 20_000;

  /** Samples of a kind of work before its usual duration serves for comparisons. */
  private static final int MIN_USUAL_SAMPLES = 5;

  /** Weight of the newest duration of a kind of work in its usual duration. */
  private static final double USUAL_WEIGHT = 0.02;

  private final Clock clock;
  private final Map<UpstreamStart, PaceEstimate> estimates =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, PaceEstimate> eldest) {
          return size() > MAX_STARTS;
        }
      };
  private final Map<Work, Usual> usualByWork = new HashMap<>();
  private final Map<String, Long> statedNanosByService = new HashMap<>();
  private long cleanedNanos;

  public PaceTable(Clock clock) {
    this.clock = clock;
    this.cleanedNanos = clock.nanoTime();
  }

  private static final class Usual {
    private int samples;
    private double logMillis;

    void add(double value) {
      samples++;
      logMillis += (value - logMillis) * Math.max(USUAL_WEIGHT, 1.0 / samples);
    }
  }

  /**
   * Records how long an upstream took for a unit of work.
   *
   * @param millis the duration, or its share for one unit; without the wait behind other work
   */
  public synchronized void recordWork(UpstreamStart start, Work work, double millis) {
    if (!(millis > 0) || Double.isInfinite(millis)) {
      return;
    }
    Usual usual = usualByWork.computeIfAbsent(work, unknown -> new Usual());
    usual.add(Math.log(millis));
    if (usual.samples >= MIN_USUAL_SAMPLES) {
      double slowdown = Math.exp(Math.log(millis) - usual.logMillis);
      estimate(start).addOwn(bounded(slowdown), clock.nanoTime());
    }
  }

  /** Records the load that an upstream of a service states. */
  public synchronized void recordStated(UpstreamStart start, String service, StatedLoad load) {
    if (load.slowdown().isPresent()) {
      long nowNanos = clock.nanoTime();
      statedNanosByService.put(service, nowNanos);
      estimate(start).addStated(bounded(load.slowdown().getAsDouble()), nowNanos);
    }
  }

  private PaceEstimate estimate(UpstreamStart start) {
    forgetOld();
    return estimates.computeIfAbsent(start, unknown -> new PaceEstimate());
  }

  private void forgetOld() {
    long nowNanos = clock.nanoTime();
    if (nowNanos - cleanedNanos > FORGET_AFTER.toNanos()) {
      cleanedNanos = nowNanos;
      estimates.values().removeIf(each -> each.age(nowNanos).compareTo(FORGET_AFTER) > 0);
    }
  }

  private static double bounded(double slowdown) {
    return Math.max(MIN_SLOWDOWN, Math.min(MAX_SLOWDOWN, slowdown));
  }

  /** Returns the pace of an upstream as it counts now. */
  public synchronized Pace pace(UpstreamStart start) {
    PaceEstimate estimate = estimates.get(start);
    return estimate == null ? Pace.USUAL : estimate.pace(clock.nanoTime());
  }

  /**
   * Returns whether upstreams of a service state how long work takes there: only then are they
   * known to share their machines, so that their pace counts when one is chosen.
   */
  public synchronized boolean isStatedBy(String service) {
    Long statedNanos = statedNanosByService.get(service);
    return statedNanos != null && clock.nanoTime() - statedNanos < STATED_TTL.toNanos();
  }

  /** Returns the usual duration of work in milliseconds; empty if too little of it was seen. */
  public synchronized OptionalDouble usualMillis(Work work) {
    Usual usual = usualByWork.get(work);
    return usual == null || usual.samples < MIN_USUAL_SAMPLES
        ? OptionalDouble.empty()
        : OptionalDouble.of(Math.exp(usual.logMillis));
  }

  @Override
  public synchronized List<UpstreamPace> ownPaces() {
    long nowNanos = clock.nanoTime();
    return estimates.entrySet().stream()
        .filter(entry -> entry.getValue().hasOwn())
        .filter(entry -> entry.getValue().ownAge(nowNanos).compareTo(MAX_SHARED_AGE) <= 0)
        .map(entry -> entry.getValue().ownPace(entry.getKey(), nowNanos))
        .toList();
  }

  /** Learns the observations of other gateways; those that can't be true are ignored. */
  @Override
  public synchronized void mergeRemote(Collection<UpstreamPace> paces) {
    long nowNanos = clock.nanoTime();
    for (UpstreamPace remote : paces) {
      if (isPlausible(remote)) {
        estimate(new UpstreamStart(remote.upstreamId(), remote.startedMillis()))
            .addRemote(remote.slowdown(), nowNanos - remote.age().toNanos(), nowNanos);
      }
    }
  }

  private static boolean isPlausible(UpstreamPace pace) {
    return pace.slowdown() >= MIN_SLOWDOWN
        && pace.slowdown() <= MAX_SLOWDOWN
        && pace.samples() > 0
        && !pace.age().isNegative()
        && pace.age().compareTo(MAX_SHARED_AGE) <= 0;
  }

  /** Returns the pace of each upstream by its id, for the dump. */
  public synchronized Map<String, Pace> paceById() {
    long nowNanos = clock.nanoTime();
    Map<String, Pace> byId = new TreeMap<>();
    estimates.forEach((start, estimate) -> byId.put(start.upstreamId(), estimate.pace(nowNanos)));
    return byId;
  }
}
