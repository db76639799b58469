package org.cuminrack.config;

/** The kind of requests that a service handles. */
public enum ServiceKind {
  /** Model engines: streamed generations of unknown length. */
  GENERATION,
  /** Plain request-response calls, such as a shop's orders and stock. */
  PLAIN
}
