package org.cuminrack.quorum;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A log of commands that a quorum of control VMs keeps. Safe for use by many threads. */
public interface ReplicatedLog {

  /** Appends a command; completes normally once it is applied here, or has failed. */
  CompletableFuture<Either<ProposalFailure, Applied>> propose(byte[] command, Duration timeout);

  /**
   * Confirms with a quorum, by messages sent after this call, that this replica still leads, and
   * waits until all that was committed before the call is applied here.
   *
   * @return the commit index at the time of the call
   */
  CompletableFuture<Either<ProposalFailure, Long>> confirmLeadership(Duration timeout);

  /** Tells whether this replica believes that it leads, and has applied a command of its term. */
  boolean leads();

  /** Returns the present term. */
  long term();

  /** Returns the name of the VM that leads as far as this replica knows; empty if unknown. */
  String leader();
}
