package org.cuminrack.quorum;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A log of commands replicated among the control VMs. A committed command has been synced by a
 * quorum of voters. Implementations are thread-safe.
 */
public interface ReplicatedLog {

  /** Appends a command; completes once the command is applied on this replica or has failed. */
  CompletableFuture<Either<ProposalFailure, AppliedProposal>> propose(
      byte[] command, Duration timeout);

  /**
   * Confirms by messages to a quorum, sent after this call, that this replica still leads.
   * Completes once all entries committed before the call are applied on this replica.
   *
   * @return an index that covers all entries committed before the call
   */
  CompletableFuture<Either<ProposalFailure, Long>> confirmLeadership(Duration timeout);

  /**
   * Returns whether this replica considers itself the leader and has committed an entry of its
   * term.
   */
  boolean isLeader();

  /** Returns the current term. */
  long term();

  /** Returns the VM name of the leader that this replica knows; empty if none. */
  String leader();
}
