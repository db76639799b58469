package org.cuminrack.control;

import java.util.Set;
import org.cuminrack.generated.rollout.RolloutData;
import org.cuminrack.generated.rollout.RolloutStageData;
import org.cuminrack.rollout.RolloutStage;
import org.cuminrack.rollout.VersionRollout;

/** Converts between the records of roll-outs and the messages of rollout.proto. */
public final class RolloutCodec {
  private static final double PER_MILLE = 1_000;

  private RolloutCodec() {}

  /** Decodes a roll-out; one of an unknown stage, of a later release, gets no requests. */
  public static VersionRollout rollout(RolloutData data) {
    return new VersionRollout(
        data.getId(),
        data.getService(),
        data.getTo(),
        Set.copyOf(data.getFromList()),
        data.getDurationMillis(),
        data.getOrderedMillis(),
        stage(data.getStage()),
        data.getSharePerMille() / PER_MILLE,
        data.getUpstreams(),
        data.getEndedWallMillis(),
        data.getReason());
  }

  static int perMille(double share) {
    return (int) Math.round(share * PER_MILLE);
  }

  private static RolloutStage stage(RolloutStageData data) {
    return switch (data) {
      case ROLLOUT_TRIAL -> RolloutStage.TRIAL;
      case ROLLOUT_LOAD -> RolloutStage.LOAD;
      case ROLLOUT_GROWTH -> RolloutStage.GROWTH;
      case ROLLOUT_FULL -> RolloutStage.FULL;
      case ROLLOUT_DONE -> RolloutStage.DONE;
      default -> RolloutStage.ROLLED_BACK;
    };
  }

  static RolloutStageData data(RolloutStage stage) {
    return switch (stage) {
      case TRIAL -> RolloutStageData.ROLLOUT_TRIAL;
      case LOAD -> RolloutStageData.ROLLOUT_LOAD;
      case GROWTH -> RolloutStageData.ROLLOUT_GROWTH;
      case FULL -> RolloutStageData.ROLLOUT_FULL;
      case DONE -> RolloutStageData.ROLLOUT_DONE;
      case ROLLED_BACK -> RolloutStageData.ROLLOUT_ROLLED_BACK;
    };
  }
}
