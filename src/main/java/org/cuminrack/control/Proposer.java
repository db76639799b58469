package org.cuminrack.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.Command;
import org.cuminrack.quorum.AppliedProposal;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;

/** Stamps commands with the replicated time and proposes them to the log. */
final class Proposer {
  /** Timeout for committing a command. */
  static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final ReplicatedLog log;
  private final Leadership leadership;

  Proposer(ReplicatedLog log, Leadership leadership) {
    this.log = log;
    this.leadership = leadership;
  }

  /** Proposes a command and returns the reply with its result as body. */
  CompletableFuture<byte[]> proposeAndReply(Command.Builder command) {
    return propose(command)
        .thenApply(outcome -> outcome.fold(Replies::of, applied -> Replies.ok(applied.result())));
  }

  /** Proposes a command; fails with {@code NotLeader} on a follower. */
  CompletableFuture<Either<ProposalFailure, AppliedProposal>> propose(Command.Builder command) {
    Optional<Leadership.Term> term = leadership.term();
    if (term.isEmpty()) {
      return CompletableFuture.completedFuture(
          Either.left(new ProposalFailure.NotLeader(log.leader())));
    }
    command.setTimeMillis(term.get().clock().nowMillis());
    return log.propose(command.build().toByteArray(), TIMEOUT);
  }
}
