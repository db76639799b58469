package org.cuminrack.fleet;

/** Where an upstream is in its life. */
public enum UpstreamPhase {
  /** Takes new requests. */
  READY,
  /** Finishes what it has and takes nothing new. */
  DRAINING,
  /** Has said that it ends, or another one has its address. */
  LEFT
}
