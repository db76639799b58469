package org.cuminrack.config;

/** The kind of requests that a service handles. */
public enum ServiceKind {
  /** Generations of a model engine: streamed, of unknown length. */
  GENERATION,
  /** Plain calls: one request, one response that is not streamed. */
  PLAIN
}
