package org.cuminrack.relay;

import java.nio.ByteBuffer;

/** One read buffer a thread, lent for the length of a call that does not nest. */
final class ReadBuffers {
  private static final ThreadLocal<ByteBuffer> BUFFER = new ThreadLocal<>();

  private ReadBuffers() {}

  /** Returns this thread's buffer, cleared. */
  static ByteBuffer take(int bytes) {
    ByteBuffer buffer = BUFFER.get();
    if (buffer == null || buffer.capacity() < bytes) {
      buffer = ByteBuffer.allocate(bytes);
      BUFFER.set(buffer);
    }
    return buffer.clear();
  }
}
