package org.cuminrack.member;

import java.util.function.Consumer;

/** An entry's session and its view of the cluster. Thread-safe. */
public interface Membership {

  /**
   * Returns whether this entry currently holds a valid lease and may send new work to upstreams.
   */
  boolean hasValidLease();

  /** Returns the newest view that this entry has applied. */
  ClusterView view();

  /** Returns the highest revision that every entry with a lease has applied. */
  long inForceRevision();

  /** Returns this entry's session id; 0 while it has no session. */
  long sessionId();

  /**
   * Adds a listener that runs after each new view or in-force revision, on the membership thread.
   */
  void onChange(Consumer<ClusterView> listener);
}
