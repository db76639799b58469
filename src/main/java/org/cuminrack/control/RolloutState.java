package org.cuminrack.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminrack.generated.rollout.AdvanceRollout;
import org.cuminrack.generated.rollout.RolloutData;
import org.cuminrack.generated.rollout.RolloutStageData;
import org.cuminrack.generated.rollout.StartResult;
import org.cuminrack.generated.rollout.StartRollout;
import org.cuminrack.generated.rollout.StartVerdictData;

/** The last roll-out of each service. Not thread-safe. */
final class RolloutState {
  /**
   * The time after an order within which an equal one is the same, sent again because its
   * acknowledgement was lost.
   */
  private static final long REPEAT_MILLIS = 10_000;

  private final TreeMap<String, RolloutData> byService = new TreeMap<>();

  /** Starts a roll-out unless one of this service is running. */
  StartResult start(long index, StartRollout order, long nowMillis) {
    RolloutData last = byService.get(order.getService());
    StartVerdictData verdict = last == null ? accepted(order) : verdict(last, order, nowMillis);
    if (verdict == StartVerdictData.START_ACCEPTED) {
      last =
          RolloutData.newBuilder()
              .setId(index)
              .setService(order.getService())
              .setTo(order.getTo())
              .addAllFrom(formerVersions(order))
              .setDurationMillis(order.getDurationMillis())
              .setOrderedMillis(nowMillis)
              .setStage(RolloutStageData.ROLLOUT_TRIAL)
              .setSharePerMille(order.getSharePerMille())
              .build();
      byService.put(order.getService(), last);
    }
    return StartResult.newBuilder()
        .setVerdict(verdict)
        .setId(last == null ? 0 : last.getId())
        .build();
  }

  private static StartVerdictData verdict(RolloutData last, StartRollout order, long nowMillis) {
    boolean isEqual =
        last.getTo().equals(order.getTo()) && last.getDurationMillis() == order.getDurationMillis();
    if (isEqual && nowMillis - last.getOrderedMillis() <= REPEAT_MILLIS) {
      return StartVerdictData.START_REPEATED;
    }
    return isRunning(last) ? StartVerdictData.START_IN_PROGRESS : accepted(order);
  }

  private static StartVerdictData accepted(StartRollout order) {
    boolean isInUse =
        !order.getFromList().isEmpty()
            && order.getFromList().stream().allMatch(order.getTo()::equals);
    return isInUse ? StartVerdictData.START_IN_USE : StartVerdictData.START_ACCEPTED;
  }

  private static List<String> formerVersions(StartRollout order) {
    List<String> versions = new ArrayList<>(order.getFromList());
    versions.remove(order.getTo());
    return versions;
  }

  /** Sets the stage of a running roll-out; returns whether anything changed. */
  boolean advance(AdvanceRollout step) {
    RolloutData current = byService.get(step.getService());
    boolean applies =
        current != null
            && current.getId() == step.getId()
            && isRunning(current)
            && step.getStageValue() >= current.getStageValue();
    if (!applies) {
      return false;
    }
    RolloutData changed =
        current.toBuilder()
            .setStage(step.getStage())
            .setSharePerMille(step.getSharePerMille())
            .setUpstreams(step.getUpstreams())
            .setEndedWallMillis(step.getEndedWallMillis())
            .setReason(step.getReason())
            .build();
    byService.put(step.getService(), changed);
    return !changed.equals(current);
  }

  private static boolean isRunning(RolloutData rollout) {
    return RolloutCodec.rollout(rollout).stage().isRunning();
  }

  Optional<RolloutData> find(String service) {
    return Optional.ofNullable(byService.get(service));
  }

  /** Returns all roll-outs, ordered by service. */
  List<RolloutData> all() {
    return List.copyOf(byService.values());
  }

  void restore(List<RolloutData> rollouts) {
    byService.clear();
    rollouts.forEach(rollout -> byService.put(rollout.getService(), rollout));
  }
}
