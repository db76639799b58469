package org.cuminrack.pool;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireFailure;

/** Calls other entries; implemented by {@link org.cuminrack.wire.WireClient#call}. */
@FunctionalInterface
public interface PoolCalls {

  /** Calls a method of the entry at an address; the future always completes normally. */
  CompletableFuture<Either<WireFailure, byte[]>> call(
      String address, Method method, byte[] payload, Duration timeout);
}
