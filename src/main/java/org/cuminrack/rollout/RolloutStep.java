package org.cuminrack.rollout;

/**
 * A change of a running roll-out.
 *
 * @param share the share of the requests for the new version, from 0 to 1
 * @param upstreams how many upstreams of the new version get them; 0 for all
 * @param reason why the roll-out is rolled back; empty otherwise
 */
public record RolloutStep(RolloutStage stage, double share, int upstreams, String reason) {

  static RolloutStep to(RolloutStage stage, double share) {
    return new RolloutStep(stage, share, 0, "");
  }

  /** Returns the step by which an operator ends a roll-out. */
  public static RolloutStep halt() {
    return rollBack("halted by an operator");
  }

  static RolloutStep rollBack(String reason) {
    return new RolloutStep(RolloutStage.ROLLED_BACK, 0, 0, reason);
  }
}
