package org.cuminrack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminrack.fleet.UpstreamRecord;
import org.cuminrack.rollout.RolloutStage;
import org.cuminrack.rollout.VersionRollout;

/**
 * Divides the requests of a service between its versions while one is rolled out. Each request that
 * is sent earns the new version its share of one; it gets a request whenever it has earned a whole
 * one. So a request that waits and tries again doesn't raise its share. Thread-safe.
 */
final class VersionSplit {
  private final Supplier<Map<String, VersionRollout>> rollouts;
  private final RandomGenerator random;
  private final Map<String, Credit> credits = new HashMap<>();

  /**
   * Creates a split.
   *
   * @param rollouts supplies the last roll-out of each service, by service
   * @param random draws where each gateway begins, so that not all choose the new version at once
   */
  VersionSplit(Supplier<Map<String, VersionRollout>> rollouts, RandomGenerator random) {
    this.rollouts = rollouts;
    this.random = random;
  }

  /**
   * Returns the candidates for a request, all of one service, in groups of which an earlier one is
   * preferred.
   */
  List<List<Candidate>> inOrder(List<Candidate> candidates) {
    Optional<VersionRollout> running = runningFor(candidates);
    if (running.isEmpty()) {
      return List.of(candidates);
    }
    VersionRollout rollout = running.get();
    List<Candidate> former = ofVersion(candidates, rollout, false);
    if (rollout.stage() == RolloutStage.FULL) {
      return List.of(ofVersion(candidates, rollout, true), former);
    }
    boolean earned = credit(rollout).amount + rollout.share() >= 1;
    return earned ? List.of(chosenNew(candidates, rollout), former) : List.of(former);
  }

  /**
   * Returns the candidates for the memory of a generation that may run there later: not of a
   * version on trial, nor of one that is being replaced.
   */
  List<Candidate> forMemoryCopies(List<Candidate> candidates) {
    return runningFor(candidates)
        .map(rollout -> ofVersion(candidates, rollout, rollout.stage() == RolloutStage.FULL))
        .orElse(candidates);
  }

  /** Records that an upstream was chosen for a request. */
  void recordChoice(UpstreamRecord upstream) {
    VersionRollout rollout = rollouts.get().get(upstream.service());
    if (rollout != null && rollout.stage().isRunning()) {
      credit(rollout).add(rollout.share() - (rollout.isNew(upstream.version()) ? 1 : 0));
    }
  }

  /** Returns whether an upstream gets no requests because of a roll-out that has ended. */
  boolean isExcluded(UpstreamRecord upstream) {
    VersionRollout rollout = rollouts.get().get(upstream.service());
    return rollout != null && rollout.excludes(upstream.version(), upstream.startedMillis());
  }

  /** Returns whether the generations of an upstream should be moved because of a roll-out. */
  boolean isLeaving(UpstreamRecord upstream) {
    VersionRollout rollout = rollouts.get().get(upstream.service());
    return rollout != null && rollout.isLeaving(upstream.version(), upstream.startedMillis());
  }

  private Optional<VersionRollout> runningFor(List<Candidate> candidates) {
    return candidates.stream()
        .findFirst()
        .map(candidate -> rollouts.get().get(candidate.upstream().service()))
        .filter(rollout -> rollout.stage().isRunning());
  }

  private static List<Candidate> ofVersion(
      List<Candidate> candidates, VersionRollout rollout, boolean isNew) {
    return candidates.stream()
        .filter(candidate -> rollout.isNew(candidate.upstream().version()) == isNew)
        .toList();
  }

  /** Returns the upstreams of the new version that get requests; all gateways choose the same. */
  private static List<Candidate> chosenNew(List<Candidate> candidates, VersionRollout rollout) {
    List<Candidate> chosen = new ArrayList<>(ofVersion(candidates, rollout, true));
    chosen.sort(Comparator.comparing(candidate -> candidate.upstream().id()));
    return rollout.upstreams() == 0
        ? chosen
        : chosen.subList(0, Math.min(rollout.upstreams(), chosen.size()));
  }

  private synchronized Credit credit(VersionRollout rollout) {
    Credit credit = credits.get(rollout.service());
    if (credit == null || credit.rolloutId != rollout.id()) {
      credit = new Credit(rollout.id(), random.nextDouble());
      credits.put(rollout.service(), credit);
    }
    return credit;
  }

  /** What the new version has earned at this gateway, in requests. */
  private static final class Credit {
    private final long rolloutId;
    private volatile double amount;

    Credit(long rolloutId, double amount) {
      this.rolloutId = rolloutId;
      this.amount = amount;
    }

    synchronized void add(double change) {
      amount = Math.min(1, amount + change);
    }
  }
}
