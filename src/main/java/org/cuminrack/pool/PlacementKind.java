package org.cuminrack.pool;

/** The ways to choose an upstream. */
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

  /** Returns a placement with its own state. */
  abstract PlacementPolicy create();
}
