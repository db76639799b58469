package org.cuminrack.fleet;

import java.util.concurrent.CompletableFuture;
import org.cuminrack.generated.control.DepartureRequest;

/** Stores departures of upstreams in the replicated state. Thread-safe. */
public interface DepartureStore {
  /** Stores a departure; completes with true once it survives the end of all processes. */
  CompletableFuture<Boolean> store(DepartureRequest departure);
}
