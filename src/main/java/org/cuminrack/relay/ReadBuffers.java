package org.cuminrack.relay;

import java.nio.ByteBuffer;

/** One reusable read buffer per thread; it must not be used by two nested calls. */
final class ReadBuffers {
  private static final ThreadLocal<ByteBuffer> BUFFER = new ThreadLocal<>();

  private ReadBuffers() {}

  /** Returns this thread's buffer, cleared, with at least this capacity. */
  static ByteBuffer get(int minBytes) {
    ByteBuffer buffer = BUFFER.get();
    if (buffer == null || buffer.capacity() < minBytes) {
      buffer = ByteBuffer.allocate(minBytes);
      BUFFER.set(buffer);
    }
    return buffer.clear();
  }
}
