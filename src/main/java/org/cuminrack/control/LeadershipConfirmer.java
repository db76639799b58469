package org.cuminrack.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;

/**
 * Batches leadership confirmations: callers that arrive during a round share the next one, whose
 * messages are all sent after their arrival.
 */
final class LeadershipConfirmer {
  private final ReplicatedLog log;
  private final Duration timeout;
  private CompletableFuture<Either<ProposalFailure, Long>> nextRound;
  private boolean inRound;

  LeadershipConfirmer(ReplicatedLog log, Duration timeout) {
    this.log = log;
    this.timeout = timeout;
  }

  /** See {@link ReplicatedLog#confirmLeadership}. */
  CompletableFuture<Either<ProposalFailure, Long>> confirm() {
    CompletableFuture<Either<ProposalFailure, Long>> round;
    synchronized (this) {
      if (nextRound == null) {
        nextRound = new CompletableFuture<>();
      }
      round = nextRound;
      if (inRound) {
        return round;
      }
      inRound = true;
      nextRound = null;
    }
    startRound(round);
    return round;
  }

  private void startRound(CompletableFuture<Either<ProposalFailure, Long>> round) {
    log.confirmLeadership(timeout)
        .whenComplete(
            (result, failure) -> {
              startNextRound();
              if (failure == null) {
                round.complete(result);
              } else {
                round.completeExceptionally(failure);
              }
            });
  }

  private void startNextRound() {
    CompletableFuture<Either<ProposalFailure, Long>> round;
    synchronized (this) {
      round = nextRound;
      nextRound = null;
      inRound = round != null;
    }
    if (round != null) {
      startRound(round);
    }
  }
}
