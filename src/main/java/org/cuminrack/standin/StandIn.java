package org.cuminrack.standin;

import org.cuminrack.lifecycle.ManagedService;

/** An emulated upstream. */
public interface StandIn extends ManagedService {

  /** Returns the host and port on which it listens. */
  String address();

  /** Starts a planned leave: it keeps serving and reports that it is leaving. */
  void leave();

  /** Returns whether the leave is acknowledged, or its wait timed out, and no work is running. */
  boolean canStop();

  /** Sets the behaviour. */
  void setBehaviour(Behaviour next);
}
