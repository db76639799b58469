package org.cuminrack.pool;

/** The algorithms for choosing an upstream. */
enum PlacementKind {
  ROUND_ROBIN {
    @Override
    PlacementPolicy create() {
      return new RoundRobinPlacement();
    }
  },
  LEAST_CONNECTIONS {
    @Override
    PlacementPolicy create() {
      return new LeastConnectionsPlacement();
    }
  },
  PREDICTIVE {
    @Override
    PlacementPolicy create() {
      return new PredictivePlacement();
    }
  };

  /** Returns a new placement policy with its own state. */
  abstract PlacementPolicy create();
}
