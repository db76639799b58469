package org.cuminrack.standin;

import org.cuminrack.lifecycle.ManagedService;

/** An emulated upstream. */
public interface StandIn extends ManagedService {

  /** Returns host and port where it listens. */
  String address();

  /** Begins a planned leave: it goes on serving and reports that it leaves. */
  void leave();

  /** Tells whether an entry knows that it leaves and nothing runs any more. */
  boolean mayEnd();

  /** Puts a behaviour in force. */
  void behave(Behaviour next);
}
