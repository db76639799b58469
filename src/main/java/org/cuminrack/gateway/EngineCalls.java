package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.cuminrack.relay.UpstreamRequest;

/** Calls to engines beside generations. */
public interface EngineCalls {

  /**
   * Returns the call that copies a running generation's memory to another engine.
   *
   * @param stop whether the generation ends here, to go on there
   */
  UpstreamRequest copyMemory(
      String engineAddress, String attemptId, String toAddress, boolean stop);

  /** Returns the name of the copy that an answer to {@link #copyMemory} gives, if it was made. */
  Optional<String> copyMade(int status, ByteString body);
}
