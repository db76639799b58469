package org.cuminrack.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cuminrack.routing.EngineSpec;

/**
 * Chooses an upstream for a request. Stateless and does no I/O, so that it can be tested without a
 * network.
 *
 * <p>Plain services are limited by slots: the upstream with the fewest requests per slot is chosen.
 * Engines are limited by memory, batch slots and prefill: the engine with the smallest share of
 * reserved memory is chosen, or none if the generation fits on no engine. Recent failures and, on
 * engines, pending prefill count as additional load. Where upstreams differ in pace by more than
 * callers would not notice, plain upstreams are drawn with a probability that falls with the square
 * of the expected time: gateways that know the same, late figures would all choose the same best
 * one, and a slow one keeps a share that tells when it is fast again. Of nearly equal upstreams,
 * those in the gateway's data centre are preferred.
 */
public final class Placement {
  /**
   * Requests per slot at which a plain upstream of the usual pace is full; further requests would
   * wait in the upstream's queue for longer than their target latency. A slow one is full sooner; a
   * fast one is not full later, since the length of its queue is not known.
   */
  private static final int MAX_PLAIN_REQUESTS_PER_SLOT = 3;

  /**
   * Weight of the random jitter, small, so that it decides only between upstreams with nearly equal
   * load. Gateways learn of each other's choices after about 50 ms; without jitter, all that choose
   * within that time pick the same upstream.
   */
  private static final double JITTER_WEIGHT = 0.06;

  /**
   * Weight of failures relative to load: added to the load of an upstream that fails every request.
   */
  private static final double FAILURE_WEIGHT = 2.0;

  /** The same in expected durations, where the expected time decides. */
  private static final double FAILURE_DURATIONS = 10;

  /** Time that a request takes to another data centre and its response back. */
  private static final double CROSSING_MILLIS = 2;

  /**
   * Share of the target latency for which a crossing is not worth its bytes, beside its time; less
   * than callers notice.
   */
  private static final double CROSSING_SHARE_OF_TARGET = 0.03;

  /** A crossing weighs less than one request on an upstream of few slots. */
  private static final double MAX_CROSSING_WEIGHT = 0.1;

  /** Weight of a crossing if the usual duration of requests is not known. */
  private static final double DEFAULT_CROSSING_WEIGHT = 0.03;

  /**
   * Maximum share of an engine's memory that may be reserved; the rest is a margin for reservations
   * of other gateways that this one does not know of yet.
   */
  private static final double USABLE_MEMORY_SHARE = 0.97;

  /** Share of an engine's memory that must stay free when a backup is placed there. */
  private static final double MIN_FREE_MEMORY_SHARE_FOR_BACKUP = 0.12;

  /**
   * Weight of pending prefill tokens relative to reserved memory: prefilling a prompt delays other
   * prompts and every token of running generations.
   */
  private static final double PENDING_PREFILL_WEIGHT = 3.0;

  /**
   * Share of the target gap up to which the expected gap between events does not count; the rest is
   * for the times at which an engine is slower than on average.
   */
  private static final double MAX_GAP_SHARE = 0.5;

  /**
   * Share of choices in which an engine counts as usually fast, so that generations tell when a
   * slow one is fast again.
   */
  private static final double PROBE_SHARE = 0.02;

  private Placement() {}

  /** Returns the upstream for a plain request; empty if all upstreams are full. */
  public static Optional<Candidate> forPlainRequest(List<Candidate> candidates, PlainWork work) {
    double targetMillis = work.targetLatency().toMillis();
    CandidatePaces paces =
        work.usualMillis().isPresent()
            ? CandidatePaces.of(candidates, work.usualMillis().getAsDouble(), targetMillis)
            : CandidatePaces.EQUAL;
    return candidates.stream()
        .filter(
            candidate ->
                candidate.load().requests() * Math.max(1, paces.slowdown(candidate))
                    < maxPlainRequests(candidate))
        .min(
            avoidedLast()
                .thenComparing(
                    Comparator.comparingDouble(candidate -> plainScore(candidate, paces, work))));
  }

  /**
   * Returns the engine for a generation; empty if it fits on no engine, or all that it fits on have
   * too much prefill pending.
   */
  public static Optional<Candidate> forGeneration(
      List<Candidate> candidates, EngineSpec engine, PrefillWork work) {
    CandidatePaces paces = PrefillTime.paces(candidates, work);
    return candidates.stream()
        .filter(fits(engine, work.expectedTokens(), engine.memoryTokens() * USABLE_MEMORY_SHARE))
        .filter(candidate -> !PrefillTime.isFull(candidate, paces, work))
        .min(
            avoidedLast()
                .thenComparing(candidate -> PrefillTime.missesTarget(candidate, paces, work))
                .thenComparing(
                    Comparator.comparingDouble(
                        candidate -> engineScore(candidate, engine, paces, work))));
  }

  /**
   * Returns the engine that takes over a generation from an engine that is leaving; never an
   * avoided one. One in the same data centre is preferred, because copying memory between data
   * centres takes twice as long and the leaving engine stops at a fixed time.
   */
  public static Optional<Candidate> forMove(
      List<Candidate> candidates, String fromDataCentre, EngineSpec engine, long tokens) {
    return candidates.stream()
        .filter(candidate -> !candidate.avoided())
        .filter(fits(engine, tokens, engine.memoryTokens() * USABLE_MEMORY_SHARE))
        .min(
            Comparator.comparing(
                    (Candidate candidate) ->
                        !candidate.upstream().dataCentre().equals(fromDataCentre))
                .thenComparing(
                    Comparator.comparingDouble(candidate -> engineScore(candidate, engine))));
  }

  /**
   * Returns the engine for the backup of a generation's memory: neither an avoided one nor the one
   * that runs the generation.
   */
  public static Optional<Candidate> forBackup(
      List<Candidate> candidates, String runningOnId, EngineSpec engine, long tokens) {
    double usableTokens = engine.memoryTokens() * (1 - MIN_FREE_MEMORY_SHARE_FOR_BACKUP);
    return candidates.stream()
        .filter(candidate -> !candidate.avoided())
        .filter(candidate -> !candidate.upstream().id().equals(runningOnId))
        .filter(fits(engine, tokens, usableTokens))
        .min(Comparator.comparingDouble(candidate -> engineScore(candidate, engine)));
  }

  /** Returns the tokens of an engine's memory that may be reserved. */
  static long usableTokens(EngineSpec engine) {
    return (long) (engine.memoryTokens() * USABLE_MEMORY_SHARE);
  }

  /** Returns the requests at which a plain upstream is full. */
  static int maxPlainRequests(Candidate candidate) {
    return MAX_PLAIN_REQUESTS_PER_SLOT * candidate.slots();
  }

  private static Predicate<Candidate> fits(EngineSpec engine, long tokens, double usableTokens) {
    return candidate ->
        candidate.load().requests() < engine.batchSlots()
            && candidate.load().reservedTokens() + tokens <= usableTokens;
  }

  private static Comparator<Candidate> avoidedLast() {
    return Comparator.comparing(Candidate::avoided);
  }

  private static double plainScore(Candidate candidate, CandidatePaces paces, PlainWork work) {
    double requestsPerSlot = (double) candidate.load().requests() / candidate.slots();
    if (!paces.areCounted()) {
      return requestsPerSlot
          + FAILURE_WEIGHT * candidate.failureShare()
          + JITTER_WEIGHT * candidate.jitter()
          + (candidate.isFar() ? plainCrossingWeight(work) : 0);
    }
    double crossing =
        candidate.isFar()
            ? crossingMillis(work.targetLatency(), CandidatePaces.UNNOTICED_SHARE_OF_TARGET)
                / work.usualMillis().getAsDouble()
            : 0;
    double expectedDurations =
        (1 + requestsPerSlot) * paces.slowdown(candidate)
            + FAILURE_DURATIONS * candidate.failureShare()
            + crossing;
    // Of such scores, each is the smallest with a probability by its inverse square.
    return expectedDurations
        * expectedDurations
        * -Math.log(Math.max(candidate.jitter(), Double.MIN_NORMAL));
  }

  private static double plainCrossingWeight(PlainWork work) {
    return work.usualMillis().isPresent()
        ? Math.min(
            MAX_CROSSING_WEIGHT,
            crossingMillis(work.targetLatency(), CROSSING_SHARE_OF_TARGET)
                / work.usualMillis().getAsDouble())
        : DEFAULT_CROSSING_WEIGHT;
  }

  private static double crossingMillis(Duration targetLatency, double shareOfTarget) {
    return CROSSING_MILLIS + shareOfTarget * targetLatency.toMillis();
  }

  /** Returns the load of an engine that counts when a generation is placed there. */
  private static double engineScore(
      Candidate candidate, EngineSpec engine, CandidatePaces paces, PrefillWork work) {
    boolean isProbe = candidate.jitter() < PROBE_SHARE;
    double slowdown = isProbe ? 1 : paces.slowdown(candidate);
    // The wait for the generation's own prompt differs only by the pace.
    double extraPrefillTokens =
        candidate.load().pendingPrefillTokens() * (slowdown - 1)
            + work.promptTokens() * (slowdown - 1);
    double crossingTokens =
        candidate.isFar()
            ? PrefillTime.tokensWithin(
                crossingMillis(work.shortestTarget(), CROSSING_SHARE_OF_TARGET))
            : 0;
    double gapOverrun =
        paces.areCounted() ? Math.max(0, work.gapShare() * slowdown - MAX_GAP_SHARE) : 0;
    return engineScore(candidate, engine)
        + PENDING_PREFILL_WEIGHT * extraPrefillTokens / engine.memoryTokens()
        + gapOverrun
        + Math.min(
            MAX_CROSSING_WEIGHT, PENDING_PREFILL_WEIGHT * crossingTokens / engine.memoryTokens());
  }

  private static double engineScore(Candidate candidate, EngineSpec engine) {
    double memory = (double) candidate.load().reservedTokens() / engine.memoryTokens();
    double pendingPrefill =
        (double) candidate.load().pendingPrefillTokens() / engine.memoryTokens();
    return memory
        + PENDING_PREFILL_WEIGHT * pendingPrefill
        + FAILURE_WEIGHT * candidate.failureShare()
        + JITTER_WEIGHT * candidate.jitter();
  }
}
