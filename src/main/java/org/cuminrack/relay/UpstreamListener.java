package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Receives the events of a request to an upstream, always on the exchange's I/O thread. */
public interface UpstreamListener {

  /** Called just before the first byte is sent; false ends the exchange without sending. */
  default boolean maySend() {
    return true;
  }

  /** All or part of the request was handed to the operating system. */
  default void sent() {}

  /** The request was not sent; the exchange has ended. */
  void notSent(NotSentReason reason);

  /** The status and headers of the response were received. */
  void responseStarted(int status, HeaderMap headers);

  /** Bytes of the response body were received; the buffer is valid only during the call. */
  void bodyReceived(ByteBuffer bytes);

  /** The response is complete. */
  void completed();

  /** The connection was lost after bytes may have been sent. */
  void failed(String detail);
}
