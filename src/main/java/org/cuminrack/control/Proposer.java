package org.cuminrack.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.Command;
import org.cuminrack.quorum.Applied;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;

/** Stamps commands with the state's time and puts them into the log. */
final class Proposer {
  /** How long a command may take to be committed. */
  static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final ReplicatedLog log;
  private final Leadership leadership;

  Proposer(ReplicatedLog log, Leadership leadership) {
    this.log = log;
    this.leadership = leadership;
  }

  /** Proposes a command; its result becomes the answer's body. */
  CompletableFuture<byte[]> answer(Command.Builder command) {
    return propose(command)
        .thenApply(outcome -> outcome.fold(Replies::of, applied -> Replies.ok(applied.result())));
  }

  /** Proposes a command. */
  CompletableFuture<Either<ProposalFailure, Applied>> propose(Command.Builder command) {
    Optional<Leadership.Term> term = leadership.term();
    if (term.isEmpty()) {
      return CompletableFuture.completedFuture(
          Either.left(new ProposalFailure.NotLeader(log.leader())));
    }
    command.setTimeMillis(term.get().time().nowMillis());
    return log.propose(command.build().toByteArray(), TIMEOUT);
  }
}
