package org.cuminrack.gateway;

/** A call in progress that its gateway can end. Called on the call's I/O thread. */
interface StoppableCall {
  /** Returns whether an upstream may have received the request. */
  boolean mayHaveRun();

  /** Ends the call with an error response, or aborts a response that has begun. */
  void end(CallEnd reason);
}
