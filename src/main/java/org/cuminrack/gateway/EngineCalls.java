package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.cuminrack.relay.UpstreamRequest;

/** Calls to engines other than generations. */
public interface EngineCalls {

  /**
   * Returns the call that copies a running generation's KV cache to another engine.
   *
   * @param stop whether the generation stops on this engine, so that it can resume on the other
   */
  UpstreamRequest copyKvCache(
      String engineAddress, String attemptId, String toAddress, boolean stop);

  /**
   * Returns the handle of the copy from a response to {@link #copyKvCache}; empty if none was made.
   */
  Optional<String> copyHandle(int status, ByteString body);

  /**
   * Returns whether the status of a response to {@link #copyKvCache} states that the call stopped
   * nothing: the generation had ended before, or the engine rejected the call.
   */
  boolean stoppedNothing(int status);
}
