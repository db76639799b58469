package org.cuminrack.relay;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Hears how a request to an upstream goes; always on the exchange's own I/O thread. */
public interface UpstreamListener {

  /** Asked just before the first byte is sent; false ends the exchange with nothing sent. */
  default boolean maySend() {
    return true;
  }

  /** Called as soon as the request has been handed to the operating system, whole or in part. */
  default void sent() {}

  /** Nothing was sent and nothing will be. */
  void notSent(NotSent reason);

  /** The head of the answer is there. */
  void answered(int status, HeaderMap headers);

  /** Bytes of the answer's body; valid only during the call. */
  void received(ByteBuffer bytes);

  /** The answer is whole. */
  void completed();

  /** The connection was lost after bytes may have been sent. */
  void broken(String detail);
}
