package org.cuminrack.standin;

/** What an announcer asks the upstream it speaks for. Safe for use by many threads. */
interface UpstreamState {

  /** Returns the load at this instant. */
  EngineLoad load();

  /** Returns what changed in the prefix cache since the last call. */
  CacheChange drainCacheChange();

  /** Tells whether reports are to be sent now. */
  boolean reports();
}
