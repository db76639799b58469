package org.cuminrack.fleet;

/** The effect of an announcement on the upstream table. */
public enum UpstreamChange {
  /**
   * Not newer than the stored announcement, or superseded by a later upstream at its address;
   * ignored.
   */
  STALE,
  /** The upstream is alive; nothing relevant to routing changed. */
  RENEWED,
  /**
   * A change relevant to routing: the upstream is new, or its phase, address or service changed.
   */
  ROUTING_CHANGED
}
