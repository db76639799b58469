package org.cuminrack.wire;

import java.util.concurrent.CompletableFuture;

/** Serves one method: payload in, payload out. Runs on a network thread and must not block. */
@FunctionalInterface
public interface WireHandler {

  /** Returns the answer's payload; a future that fails is answered as a rejection. */
  CompletableFuture<byte[]> handle(byte[] payload);
}
