package org.cuminrack.rollout;

import java.util.Optional;

/**
 * Decides on the next step of a roll-out. Until the version is shown to be good, the requests sent
 * to it stay below a tenth of all requests and fifty: the stages before {@link RolloutStage#FULL}
 * are planned within that, and a guard reduces the share if they exceed the plan.
 */
public final class RolloutDecision {
  /** The share at the order, before the rate of requests is known. */
  public static final double TRIAL_SHARE = 0.1;

  /** The share after the first answers, for the time in which a version may turn bad. */
  private static final double WATCH_SHARE = 0.04;

  private static final double GROWTH_SHARE = 0.5;
  private static final double MIN_GROWTH_SHARE = 0.15;

  /** The share of the new version's upstreams that get load. */
  private static final double LOADED_UPSTREAMS = 0.1;

  /** The load of these upstreams, as a share of that at the end. */
  private static final double LOAD = 0.9;

  private static final double MAX_LOAD_SHARE = 0.3;
  private static final long MIN_LOAD_MILLIS = 1_500;
  private static final long MAX_LOAD_MILLIS = 5_000;

  /** The requests planned before growth, as a share of all until the deadline and on top. */
  private static final double LOAD_PLAN_SHARE = 0.065;

  private static final double LOAD_PLAN_REQUESTS = 32;

  /** The same with growth. */
  private static final double GROWTH_PLAN_SHARE = 0.08;

  private static final double GROWTH_PLAN_REQUESTS = 35;

  /** The share once the new version has got more requests than planned so far. */
  private static final double GUARDED_SHARE = 0.02;

  private static final double GUARD_SHARE = 0.08;
  private static final double GUARD_REQUESTS = 38;

  /** A leader waits so long for the reports of all gateways before it lets a version grow. */
  private static final long MIN_LED_MILLIS = 1_200;

  private RolloutDecision() {}

  /**
   * The times that a decision takes into account, in milliseconds.
   *
   * @param sinceOrder time since the order
   * @param sinceLed time since this leader first saw the roll-out
   * @param sinceStage time since this leader first saw its stage
   */
  public record Ages(long sinceOrder, long sinceLed, long sinceStage) {}

  /** Returns the next step, if it is due. */
  public static Optional<RolloutStep> next(
      VersionRollout rollout, Ages ages, VersionEvidence evidence, VersionCapacity capacity) {
    if (!rollout.stage().isRunning()) {
      return Optional.empty();
    }
    Optional<String> badReason = evidence.badReason();
    if (badReason.isPresent()) {
      return Optional.of(RolloutStep.rollBack(badReason.get()));
    }
    RolloutSchedule schedule = RolloutSchedule.of(rollout.durationMillis());
    if (ages.sinceOrder() >= schedule.deadlineMillis() && !capacity.isSufficient()) {
      boolean isKnown = ages.sinceLed() >= 3 * MIN_LED_MILLIS;
      return isKnown
          ? Optional.of(RolloutStep.rollBack("too few upstreams of the new version"))
          : Optional.empty();
    }
    return switch (rollout.stage()) {
      case TRIAL, LOAD -> beforeGrowth(rollout, ages, schedule, evidence, capacity);
      case GROWTH -> full(ages, schedule, evidence, capacity);
      case FULL -> done(ages, schedule, evidence, capacity);
      case DONE, ROLLED_BACK -> Optional.empty();
    };
  }

  private static Optional<RolloutStep> beforeGrowth(
      VersionRollout rollout,
      Ages ages,
      RolloutSchedule schedule,
      VersionEvidence evidence,
      VersionCapacity capacity) {
    if (ages.sinceOrder() >= schedule.fullMillis()) {
      return full(ages, schedule, evidence, capacity);
    }
    boolean mayGrow =
        ages.sinceOrder() >= schedule.growthMillis()
            && ages.sinceLed() >= MIN_LED_MILLIS
            && evidence.isGood()
            && capacity.isSufficient();
    if (mayGrow) {
      return Optional.of(
          RolloutStep.to(RolloutStage.GROWTH, growthShare(ages, schedule, evidence)));
    }
    if (isOverPlan(evidence)) {
      return rollout.share() > GUARDED_SHARE
          ? Optional.of(new RolloutStep(RolloutStage.LOAD, GUARDED_SHARE, 1, ""))
          : Optional.empty();
    }
    if (rollout.stage() == RolloutStage.LOAD || ages.sinceLed() < MIN_LED_MILLIS) {
      return Optional.empty();
    }
    return beforeLoad(rollout, ages, schedule, evidence, capacity);
  }

  private static boolean isOverPlan(VersionEvidence evidence) {
    return evidence.sentToNew() > GUARD_SHARE * evidence.sent() + GUARD_REQUESTS;
  }

  /**
   * Begins to load a few upstreams so long before growth that the planned requests last until then.
   */
  private static Optional<RolloutStep> beforeLoad(
      VersionRollout rollout,
      Ages ages,
      RolloutSchedule schedule,
      VersionEvidence evidence,
      VersionCapacity capacity) {
    int loaded = Math.max(1, (int) (LOADED_UPSTREAMS * capacity.newUpstreams()));
    double share = Math.min(MAX_LOAD_SHARE, LOAD * loaded / Math.max(1, capacity.newUpstreams()));
    double requestsPerMillis = requestsPerMillis(ages, evidence);
    double planned =
        LOAD_PLAN_SHARE * requestsPerMillis * schedule.deadlineMillis()
            + LOAD_PLAN_REQUESTS
            - evidence.sentToNew();
    double loadMillis =
        Math.min(MAX_LOAD_MILLIS, Math.max(MIN_LOAD_MILLIS, planned / (share * requestsPerMillis)));
    if (capacity.newUpstreams() > 0 && ages.sinceOrder() >= schedule.growthMillis() - loadMillis) {
      return Optional.of(new RolloutStep(RolloutStage.LOAD, share, loaded, ""));
    }
    return ages.sinceOrder() >= schedule.trialMillis() && rollout.share() > WATCH_SHARE
        ? Optional.of(RolloutStep.to(RolloutStage.TRIAL, WATCH_SHARE))
        : Optional.empty();
  }

  private static double growthShare(Ages ages, RolloutSchedule schedule, VersionEvidence evidence) {
    double requestsPerMillis = requestsPerMillis(ages, evidence);
    double planned =
        GROWTH_PLAN_SHARE * requestsPerMillis * schedule.deadlineMillis()
            + GROWTH_PLAN_REQUESTS
            - evidence.sentToNew();
    double until = requestsPerMillis * Math.max(1, schedule.fullMillis() - ages.sinceOrder());
    return Math.min(GROWTH_SHARE, Math.max(MIN_GROWTH_SHARE, planned / until));
  }

  private static double requestsPerMillis(Ages ages, VersionEvidence evidence) {
    return Math.max(1, evidence.sent()) / (double) Math.max(1, ages.sinceOrder());
  }

  private static Optional<RolloutStep> full(
      Ages ages, RolloutSchedule schedule, VersionEvidence evidence, VersionCapacity capacity) {
    if (ages.sinceOrder() < schedule.fullMillis() || ages.sinceLed() < MIN_LED_MILLIS) {
      return Optional.empty();
    }
    boolean isLatest = ages.sinceOrder() >= schedule.latestFullMillis();
    if (isLatest && evidence.isSuspect()) {
      return Optional.of(RolloutStep.rollBack("not shown to be good by the deadline"));
    }
    boolean hasEvidence = evidence.isGood() || isLatest;
    boolean hasRoom = isLatest ? capacity.isSufficient() : capacity.isFull();
    return hasEvidence && hasRoom && !evidence.isSuspect()
        ? Optional.of(RolloutStep.to(RolloutStage.FULL, 1))
        : Optional.empty();
  }

  private static Optional<RolloutStep> done(
      Ages ages, RolloutSchedule schedule, VersionEvidence evidence, VersionCapacity capacity) {
    boolean isDue =
        ages.sinceOrder() >= schedule.doneMillis()
            && ages.sinceStage() >= schedule.minDrainMillis()
            && capacity.isSufficient();
    if (!isDue) {
      return Optional.empty();
    }
    if (evidence.isSuspect() && ages.sinceOrder() < schedule.deadlineMillis()) {
      return Optional.empty();
    }
    return Optional.of(
        evidence.isSuspect()
            ? RolloutStep.rollBack("not shown to be good by the deadline")
            : RolloutStep.to(RolloutStage.DONE, 1));
  }
}
