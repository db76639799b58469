package org.cuminrack.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminrack.generated.rollout.RolloutFigures;
import org.cuminrack.generated.rollout.RouteFiguresData;
import org.cuminrack.rollout.RolloutDecision;
import org.cuminrack.rollout.RolloutStage;
import org.cuminrack.rollout.RolloutStep;
import org.cuminrack.rollout.RouteFigures;
import org.cuminrack.rollout.VersionCapacity;
import org.cuminrack.rollout.VersionEvidence;
import org.cuminrack.rollout.VersionRollout;

/** What one control VM knows of a running roll-out besides its replicated state. */
final class RolloutWatch {
  /** Time after which routes that the former versions hardly serve are judged by themselves. */
  private static final long ALONE_MILLIS = 3_000;

  private final long firstSeenNanos;
  private VersionEvidence evidence = new VersionEvidence();
  private RolloutStage stage;
  private long stageSinceNanos;
  private long ledSinceNanos;
  private boolean leads;
  private boolean proposing;

  RolloutWatch(long nowNanos) {
    this.firstSeenNanos = nowNanos;
  }

  /** Forgets the evidence, which may be incomplete once another VM has led. */
  void endTerm() {
    if (leads) {
      leads = false;
      evidence = new VersionEvidence();
    }
  }

  /** Records one gateway's totals. */
  void record(String gateway, RolloutFigures figures) {
    evidence.recordAge(figures.getAgeMillis());
    for (RouteFiguresData route : figures.getRoutesList()) {
      int[] answered = route.getAnsweredList().stream().mapToInt(Integer::intValue).toArray();
      evidence.record(
          gateway,
          route.getRoute(),
          route.getNewVersion(),
          RouteFigures.of(route.getSent(), route.getFailed(), answered));
    }
  }

  /**
   * Returns the step that is due.
   *
   * @param leaderMillis the replicated time, which does not advance while there is no leader
   */
  Optional<RolloutStep> next(
      VersionRollout rollout, long leaderMillis, long nowNanos, VersionCapacity capacity) {
    if (!leads) {
      leads = true;
      ledSinceNanos = nowNanos;
    }
    if (stage != rollout.stage()) {
      stage = rollout.stage();
      stageSinceNanos = nowNanos;
    }
    if (proposing) {
      return Optional.empty();
    }
    long sinceOrder =
        Math.max(
            leaderMillis - rollout.orderedMillis(),
            Math.max(millis(nowNanos - firstSeenNanos), evidence.maxAgeMillis()));
    evidence.judge(sinceOrder >= ALONE_MILLIS);
    RolloutDecision.Ages ages =
        new RolloutDecision.Ages(
            sinceOrder, millis(nowNanos - ledSinceNanos), millis(nowNanos - stageSinceNanos));
    return RolloutDecision.next(rollout, ages, evidence, capacity);
  }

  void setProposing(boolean isProposing) {
    proposing = isProposing;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  @Override
  public String toString() {
    return "%d of %d requests to the new version, %d judged"
        .formatted(evidence.sentToNew(), evidence.sent(), evidence.judged());
  }
}
