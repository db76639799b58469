package org.cuminrack.standin;

/** The state of an upstream that its announcer reports. Thread-safe. */
interface UpstreamState {

  /** Returns the current load. */
  EngineLoad load();

  /** Returns the changes to the prefix cache since the last call. */
  CacheChange drainCacheChange();

  /** Returns whether the upstream currently sends reports. */
  boolean sendsReports();
}
