package org.cuminrack.gateway;

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
 * engines, pending prefill count as additional load.
 */
public final class Placement {
  /**
   * Requests per slot at which a plain upstream is full; further requests would wait in the
   * upstream's queue for longer than their target latency.
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
   * Pending prefill tokens at which an engine gets no more generations: about one second of prefill
   * for an engine under load, which prefills about 7 tokens per millisecond (chunks of 112 tokens
   * in steps of 16 ms). Further generations wait in the gateway's queue, which is ordered by
   * priority.
   */
  private static final long MAX_PENDING_PREFILL_TOKENS = 7_000;

  private Placement() {}

  /** Returns the upstream for a plain request; empty if all upstreams are full. */
  public static Optional<Candidate> forPlainRequest(List<Candidate> candidates) {
    return candidates.stream()
        .filter(candidate -> candidate.load().requests() < maxPlainRequests(candidate))
        .min(avoidedLast().thenComparing(Comparator.comparingDouble(Placement::plainScore)));
  }

  /**
   * Returns the engine for a generation that is expected to need this many tokens of memory; empty
   * if it fits on no engine.
   */
  public static Optional<Candidate> forGeneration(
      List<Candidate> candidates, EngineSpec engine, long tokens) {
    return candidates.stream()
        .filter(fits(engine, tokens, engine.memoryTokens() * USABLE_MEMORY_SHARE))
        .filter(candidate -> mayPrefillMore(candidate.load()))
        .min(
            avoidedLast()
                .thenComparing(
                    Comparator.comparingDouble(candidate -> engineScore(candidate, engine))));
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

  /** Returns whether an engine with this load may get another prompt. */
  static boolean mayPrefillMore(UpstreamLoad load) {
    return load.pendingPrefillTokens() < MAX_PENDING_PREFILL_TOKENS;
  }

  /** Returns the requests at which a plain upstream is full. */
  static int maxPlainRequests(Candidate candidate) {
    return MAX_PLAIN_REQUESTS_PER_SLOT * slots(candidate);
  }

  private static Predicate<Candidate> fits(EngineSpec engine, long tokens, double usableTokens) {
    return candidate ->
        candidate.load().requests() < engine.batchSlots()
            && candidate.load().reservedTokens() + tokens <= usableTokens;
  }

  private static Comparator<Candidate> avoidedLast() {
    return Comparator.comparing(Candidate::avoided);
  }

  private static double plainScore(Candidate candidate) {
    double load = (double) candidate.load().requests() / slots(candidate);
    return load + FAILURE_WEIGHT * candidate.failureShare() + JITTER_WEIGHT * candidate.jitter();
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

  private static int slots(Candidate candidate) {
    return Math.max(1, candidate.upstream().slots());
  }
}
