package org.cuminrack.quorum;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The requests of this process that wait for an outcome. Futures complete on the common pool, so
 * that what hangs on them can't hold the protocol up. Safe for use by many threads.
 */
final class RequestTable {
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, CompletableFuture<Either<ProposalFailure, Applied>>> proposals =
      new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Either<ProposalFailure, Long>>> reads =
      new ConcurrentHashMap<>();

  /** A request that has just begun. */
  record Opened<T>(long id, CompletableFuture<Either<ProposalFailure, T>> future) {}

  Opened<Applied> openProposal(Duration timeout) {
    return open(proposals, timeout);
  }

  Opened<Long> openRead(Duration timeout) {
    return open(reads, timeout);
  }

  private <T> Opened<T> open(
      Map<Long, CompletableFuture<Either<ProposalFailure, T>>> table, Duration timeout) {
    long id = lastId.incrementAndGet();
    CompletableFuture<Either<ProposalFailure, T>> future = new CompletableFuture<>();
    table.put(id, future);
    future.whenComplete((outcome, failure) -> table.remove(id));
    String detail = "no outcome in " + timeout.toMillis() + " ms";
    future.completeOnTimeout(
        Either.left(new ProposalFailure.OutcomeUnknown(detail)),
        timeout.toMillis(),
        TimeUnit.MILLISECONDS);
    return new Opened<>(id, future);
  }

  void applied(long id, long index, byte[] result) {
    complete(proposals.get(id), Either.right(new Applied(index, result)));
  }

  void confirm(long id, long index) {
    complete(reads.get(id), Either.right(index));
  }

  void fail(long id, ProposalFailure failure) {
    complete(proposals.get(id), Either.left(failure));
    complete(reads.get(id), Either.left(failure));
  }

  void failAll(ProposalFailure failure) {
    proposals.keySet().forEach(id -> fail(id, failure));
    reads.keySet().forEach(id -> fail(id, failure));
  }

  private static <T> void complete(
      CompletableFuture<Either<ProposalFailure, T>> future, Either<ProposalFailure, T> outcome) {
    if (future != null) {
      future.completeAsync(() -> outcome);
    }
  }
}
