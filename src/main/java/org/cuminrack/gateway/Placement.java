package org.cuminrack.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cuminrack.routing.EngineSpec;

/**
 * Chooses an upstream for a request. Pure, so that it is tested without a network.
 *
 * <p>Plain services are bound by places: the fewest requests a place go first. Engines are bound by
 * memory: a generation goes where the most is left, and nowhere if it fits nowhere.
 */
public final class Placement {
  /** Requests a place at which a plain upstream counts as full; beyond, waits pass any target. */
  private static final int PLAIN_REQUESTS_A_SLOT = 3;

  /**
   * What the draw weighs: less than one request more. Gateways hear of each other's choices after
   * some 50 ms; without it, those who choose meanwhile all choose the same.
   */
  private static final double DRAW_WEIGHT = 0.06;

  /** What failures weigh beside load: an upstream that fails all counts as this much fuller. */
  private static final double FAILURE_WEIGHT = 2.0;

  /** Part of an engine's memory that is given out; the rest absorbs stale loads of others. */
  private static final double USED_MEMORY = 0.97;

  /** Part of an engine's memory that must stay free beside a backup. */
  private static final double FREE_BESIDE_BACKUP = 0.12;

  /**
   * What an unread prompt weighs beside memory: reading one delays the others that begin, and every
   * token of those that run.
   */
  private static final double UNREAD_PROMPT_WEIGHT = 3.0;

  /**
   * Unread prompts that an engine is given at most. It reads about 7 tokens a millisecond beside
   * others (chunks of 112 in steps of 16 ms); the rest waits here, where the urgent go first.
   */
  private static final long MAX_UNREAD_TOKENS = 7_000;

  private Placement() {}

  /** Chooses for a plain request; empty if all upstreams are full. */
  public static Optional<Candidate> plain(List<Candidate> candidates) {
    return candidates.stream()
        .filter(each -> each.load().requests() < PLAIN_REQUESTS_A_SLOT * slots(each))
        .min(avoidedLast().thenComparing(Comparator.comparingDouble(Placement::plainScore)));
  }

  /** Chooses for a generation that may need this much memory; empty if it fits nowhere. */
  public static Optional<Candidate> generation(
      List<Candidate> candidates, EngineSpec engine, long tokens) {
    return candidates.stream()
        .filter(fits(engine, tokens, engine.memoryTokens() * USED_MEMORY))
        .filter(each -> each.load().unreadPromptTokens() < MAX_UNREAD_TOKENS)
        .min(
            avoidedLast()
                .thenComparing(Comparator.comparingDouble(each -> engineScore(each, engine))));
  }

  /**
   * Chooses where a generation goes on whose engine leaves. Its memory travels twice as long
   * between data centres, and the engine's end does not wait.
   */
  public static Optional<Candidate> move(
      List<Candidate> candidates, String fromDataCentre, EngineSpec engine, long tokens) {
    return candidates.stream()
        .filter(each -> !each.avoided())
        .filter(fits(engine, tokens, engine.memoryTokens() * USED_MEMORY))
        .min(
            Comparator.comparing(
                    (Candidate each) -> !each.upstream().dataCentre().equals(fromDataCentre))
                .thenComparing(Comparator.comparingDouble(each -> engineScore(each, engine))));
  }

  /** Chooses an engine for the copy of a generation's memory, other than where it runs. */
  public static Optional<Candidate> backup(
      List<Candidate> candidates, String runningOn, EngineSpec engine, long tokens) {
    double usable = engine.memoryTokens() * (1 - FREE_BESIDE_BACKUP);
    return candidates.stream()
        .filter(each -> !each.avoided())
        .filter(each -> !each.upstream().id().equals(runningOn))
        .filter(fits(engine, tokens, usable))
        .min(Comparator.comparingDouble(each -> engineScore(each, engine)));
  }

  private static Predicate<Candidate> fits(EngineSpec engine, long tokens, double usableTokens) {
    return each ->
        each.load().requests() < engine.batchSlots()
            && each.load().reservedTokens() + tokens <= usableTokens;
  }

  private static Comparator<Candidate> avoidedLast() {
    return Comparator.comparing(Candidate::avoided);
  }

  private static double plainScore(Candidate each) {
    double load = (double) each.load().requests() / slots(each);
    return load + FAILURE_WEIGHT * each.failureShare() + DRAW_WEIGHT * each.draw();
  }

  private static double engineScore(Candidate each, EngineSpec engine) {
    double memory = (double) each.load().reservedTokens() / engine.memoryTokens();
    double unread = (double) each.load().unreadPromptTokens() / engine.memoryTokens();
    return memory
        + UNREAD_PROMPT_WEIGHT * unread
        + FAILURE_WEIGHT * each.failureShare()
        + DRAW_WEIGHT * each.draw();
  }

  private static int slots(Candidate each) {
    return Math.max(1, each.upstream().slots());
  }
}
