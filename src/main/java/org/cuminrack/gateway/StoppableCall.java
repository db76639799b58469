package org.cuminrack.gateway;

/**
 * A call in progress, as a planned stop of its gateway ends it. Called on the call's I/O thread.
 */
interface StoppableCall {
  /** The stop has begun: refuses the request if it is not sent yet and may outlast the stop. */
  void stopBegun();

  /** The stop has ended: ends the call with an answer, or aborts a response that has begun. */
  void stopEnded();
}
