package org.cuminrack.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Waits for enough of several replies. */
final class Majority {
  private Majority() {}

  /**
   * Completes with true once so many replies are true, and with false once all are there and fewer
   * are; a reply that fails counts as false.
   */
  static CompletableFuture<Boolean> of(int needed, List<CompletableFuture<Boolean>> replies) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    if (needed <= 0) {
      result.complete(true);
      return result;
    }
    AtomicInteger positive = new AtomicInteger();
    AtomicInteger left = new AtomicInteger(replies.size());
    for (CompletableFuture<Boolean> reply : replies) {
      reply.whenComplete(
          (value, failure) -> {
            if (failure == null && value && positive.incrementAndGet() >= needed) {
              result.complete(true);
            }
            if (left.decrementAndGet() == 0) {
              result.complete(false);
            }
          });
    }
    if (replies.isEmpty()) {
      result.complete(false);
    }
    return result;
  }
}
