package org.cuminrack.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.quorum.ProposalFailure;
import org.cuminrack.quorum.ReplicatedLog;

/**
 * Confirms leadership for many callers at a time: those that come while one round is under way
 * share the next one, whose messages are all sent after they came.
 */
final class LeadershipConfirmer {
  private final ReplicatedLog log;
  private final Duration timeout;
  private CompletableFuture<Either<ProposalFailure, Long>> next;
  private boolean busy;

  LeadershipConfirmer(ReplicatedLog log, Duration timeout) {
    this.log = log;
    this.timeout = timeout;
  }

  /** See {@link ReplicatedLog#confirmLeadership}. */
  CompletableFuture<Either<ProposalFailure, Long>> confirm() {
    CompletableFuture<Either<ProposalFailure, Long>> answer;
    synchronized (this) {
      if (next == null) {
        next = new CompletableFuture<>();
      }
      answer = next;
      if (busy) {
        return answer;
      }
      busy = true;
      next = null;
    }
    begin(answer);
    return answer;
  }

  private void begin(CompletableFuture<Either<ProposalFailure, Long>> round) {
    log.confirmLeadership(timeout)
        .whenComplete(
            (result, failure) -> {
              beginNext();
              if (failure == null) {
                round.complete(result);
              } else {
                round.completeExceptionally(failure);
              }
            });
  }

  private void beginNext() {
    CompletableFuture<Either<ProposalFailure, Long>> round;
    synchronized (this) {
      round = next;
      next = null;
      busy = round != null;
    }
    if (round != null) {
      begin(round);
    }
  }
}
