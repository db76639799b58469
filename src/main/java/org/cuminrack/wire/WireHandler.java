package org.cuminrack.wire;

import java.util.concurrent.CompletableFuture;

/** Handles the calls of one method. Runs on a network thread and must not block. */
@FunctionalInterface
public interface WireHandler {

  /** Returns the response's payload; a failed future rejects the call. */
  CompletableFuture<byte[]> handle(byte[] payload);
}
