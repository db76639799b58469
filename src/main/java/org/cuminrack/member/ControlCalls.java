package org.cuminrack.member;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.wire.Method;

/** Calls the leader of the control VMs. Safe for use by many threads. */
public interface ControlCalls {

  /**
   * Calls a method, again and at other control VMs where an answer is lost; so every request has to
   * be one that may be repeated. The future always completes normally, at the latest when the
   * timeout has passed.
   *
   * @param attemptTimeout how long one attempt may wait for its answer
   * @return the body of the leader's answer
   */
  CompletableFuture<Either<ControlFailure, byte[]>> call(
      Method method, byte[] payload, Duration timeout, Duration attemptTimeout);

  /** Calls a method whose answer comes at once. */
  default CompletableFuture<Either<ControlFailure, byte[]>> call(
      Method method, byte[] payload, Duration timeout) {
    return call(method, payload, timeout, Duration.ofSeconds(1));
  }
}
