package org.cuminrack.rollout;

/** The stages of a roll-out, in their order. */
public enum RolloutStage {
  /** A small share of the requests goes to all upstreams of the new version. */
  TRIAL,
  /** A small share goes to a few upstreams, which thereby get as many requests as at the end. */
  LOAD,
  /** Half of the requests go to the new version. */
  GROWTH,
  /** All new requests go to the new version; the former ones finish what they run. */
  FULL,
  /** The new version has replaced the former ones. */
  DONE,
  /** The new version gets no requests. */
  ROLLED_BACK;

  /** Returns whether the roll-out has not ended. */
  public boolean isRunning() {
    return this != DONE && this != ROLLED_BACK;
  }
}
