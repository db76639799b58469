package org.cuminrack.fleet;

/** What an announcement meant for the table. */
public enum UpstreamChange {
  /** Said before, or by a life that has ended. */
  STALE,
  /** The upstream lives; nothing that matters for routing is different. */
  RENEWED,
  /** Requests have to go elsewhere from now on, or may come here. */
  MOVED
}
