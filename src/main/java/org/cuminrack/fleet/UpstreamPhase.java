package org.cuminrack.fleet;

/** The lifecycle phase of an upstream. */
public enum UpstreamPhase {
  /** Accepts new requests. */
  READY,
  /** Finishes running requests and accepts no new ones. */
  DRAINING,
  /** Has announced its end, or was replaced by another upstream at its address. */
  LEFT
}
