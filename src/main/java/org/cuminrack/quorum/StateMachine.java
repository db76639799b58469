package org.cuminrack.quorum;

/**
 * What the replicated log drives: the same commands in the same order on every replica. Called by
 * one thread at a time. Must be deterministic: no clock, no randomness.
 */
public interface StateMachine {

  /** Applies a committed command and returns the answer for its proposer. */
  byte[] apply(long index, byte[] command);

  /** Returns the whole state, as it stands after the last applied command. */
  byte[] snapshot();

  /** Replaces the whole state by a snapshot; an empty one stands for the initial state. */
  void restore(long index, byte[] snapshot);
}
