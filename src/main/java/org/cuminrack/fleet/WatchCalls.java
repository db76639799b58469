package org.cuminrack.fleet;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.fleet.WatchCall;
import org.cuminrack.wire.WireFailure;

/** Sends watch calls to control VMs. */
@FunctionalInterface
interface WatchCalls {
  /** Completes with the encoded answer, or with why there is none. */
  CompletableFuture<Either<WireFailure, byte[]>> call(String address, WatchCall call);
}
