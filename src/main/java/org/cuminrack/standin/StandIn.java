package org.cuminrack.standin;

import org.cuminrack.lifecycle.ManagedService;

/** An emulated upstream. */
public interface StandIn extends ManagedService {

  /** Returns the host and port on which it listens. */
  String address();

  /** Reports from now on that the upstream is leaving; it keeps serving. */
  void leave();

  /**
   * Returns whether the stand-in can exit: no work is running, and an entry has acknowledged that
   * it is leaving or the wait for the acknowledgement has timed out.
   */
  boolean canStop();

  /** Replaces the faults that the stand-in injects. */
  void setBehaviour(Behaviour next);
}
