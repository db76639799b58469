package org.cuminrack.quorum;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The pending requests of this process. Outcomes reported by the protocol thread complete their
 * futures on the common pool, so that dependent stages cannot block that thread. Thread-safe.
 */
final class RequestTable {
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, CompletableFuture<Either<ProposalFailure, AppliedProposal>>> proposals =
      new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Either<ProposalFailure, Long>>> reads =
      new ConcurrentHashMap<>();

  /** A pending request and the future of its outcome. */
  record PendingRequest<T>(long id, CompletableFuture<Either<ProposalFailure, T>> future) {}

  PendingRequest<AppliedProposal> addProposal(Duration timeout) {
    return add(proposals, timeout);
  }

  PendingRequest<Long> addRead(Duration timeout) {
    return add(reads, timeout);
  }

  private <T> PendingRequest<T> add(
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
    return new PendingRequest<>(id, future);
  }

  void completeProposal(long id, long index, byte[] result) {
    complete(proposals.get(id), Either.right(new AppliedProposal(index, result)));
  }

  void completeRead(long id, long index) {
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
