package org.cuminrack.config;

/** What stands behind a service. */
public enum ServiceKind {
  /** Model engines: streamed generations of unknown length. */
  GENERATION,
  /** Plain request and answer, such as a shop's orders and stock. */
  PLAIN
}
