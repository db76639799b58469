package org.cuminrack.member;

import java.util.function.Consumer;

/** What an entry knows of its session and the cluster. Safe for use by many threads. */
public interface Membership {

  /** Tells whether this entry may give upstreams new work at this instant. */
  boolean hasFreshLease();

  /** Returns the newest view that this entry has put in force. */
  ClusterView view();

  /** Returns the revision that every entry with a lease has put in force. */
  long inForceRevision();

  /** Returns this entry's own session id; 0 while it has none. */
  long sessionId();

  /** Calls back after each new view or in-force revision, on the membership's own thread. */
  void onChange(Consumer<ClusterView> listener);
}
