package org.cuminrack.quorum;

/**
 * A state machine driven by the replicated log, which applies the same commands in the same order
 * on every replica. Called by one thread at a time. Must be deterministic: no clock, no randomness.
 */
public interface StateMachine {

  /** Applies a committed command and returns the result for its proposer. */
  byte[] apply(long index, byte[] command);

  /** Returns the complete state after the last applied command. */
  byte[] snapshot();

  /** Replaces the complete state with a snapshot; an empty snapshot is the initial state. */
  void restore(long index, byte[] snapshot);
}
