package org.cuminrack.pool;

/**
 * The admission policies: the predictive one, its variants with one mechanism disabled, and two
 * baselines for comparison.
 */
public enum PolicyKind {
  /** Baseline: sends at once, to each upstream in turn. */
  ROUND_ROBIN(PlacementKind.ROUND_ROBIN, null),
  /** Baseline: sends at once, to the upstream with the fewest requests. */
  LEAST_CONNECTIONS(PlacementKind.LEAST_CONNECTIONS, null),
  /** The predictive policy with all mechanisms. */
  PREDICTIVE(PlacementKind.PREDICTIVE, null),
  WITHOUT_MEMORY_PREDICTION(PlacementKind.PREDICTIVE, Mechanism.MEMORY_PREDICTION),
  WITHOUT_RAMP(PlacementKind.PREDICTIVE, Mechanism.RAMP),
  WITHOUT_PREFIX_AFFINITY(PlacementKind.PREDICTIVE, Mechanism.PREFIX_AFFINITY),
  WITHOUT_FAIR_QUEUEING(PlacementKind.PREDICTIVE, Mechanism.FAIR_QUEUEING),
  WITHOUT_INTERACTIVE_ROOM(PlacementKind.PREDICTIVE, Mechanism.INTERACTIVE_ROOM),
  WITHOUT_EARLY_REFUSAL(PlacementKind.PREDICTIVE, Mechanism.EARLY_REFUSAL),
  WITHOUT_RETRY_BUDGET(PlacementKind.PREDICTIVE, Mechanism.RETRY_BUDGET);

  private final PlacementKind placement;
  private final Mechanism disabled;

  /**
   * @param disabled the mechanism that this policy leaves out; null for none
   */
  PolicyKind(PlacementKind placement, Mechanism disabled) {
    this.placement = placement;
    this.disabled = disabled;
  }

  /** Returns whether this policy uses a mechanism; the baselines use none. */
  public boolean uses(Mechanism mechanism) {
    return placement == PlacementKind.PREDICTIVE && mechanism != disabled;
  }

  /** Returns a new placement policy with its own state. */
  PlacementPolicy newPlacement() {
    return placement.create();
  }
}
