package org.cuminrack.member;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.wire.Method;

/** Calls the leader of the control VMs. Thread-safe. */
public interface ControlCalls {

  /**
   * Calls a method and retries at other control VMs if a response is lost, so every request must be
   * idempotent. The future always completes normally, at the latest after the timeout.
   *
   * @param attemptTimeout timeout of a single attempt
   * @return the body of the leader's response
   */
  CompletableFuture<Either<ControlFailure, byte[]>> call(
      Method method, byte[] payload, Duration timeout, Duration attemptTimeout);

  /** Calls a method that answers without waiting, with an attempt timeout of 1 s. */
  default CompletableFuture<Either<ControlFailure, byte[]>> call(
      Method method, byte[] payload, Duration timeout) {
    return call(method, payload, timeout, Duration.ofSeconds(1));
  }
}
