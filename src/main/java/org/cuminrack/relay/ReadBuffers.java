package org.cuminrack.relay;

import java.nio.ByteBuffer;

/** One reusable read buffer per thread; it must not be used by two nested calls. */
final class ReadBuffers {
  private static final ThreadLocal<ByteBuffer> BUFFER = new ThreadLocal<>();

  private ReadBuffers() {}

  /** Returns this thread's buffer, cleared. */
  static ByteBuffer acquire(int bytes) {
    ByteBuffer buffer = BUFFER.get();
    if (buffer == null || buffer.capacity() < bytes) {
      buffer = ByteBuffer.allocate(bytes);
      BUFFER.set(buffer);
    }
    return buffer.clear();
  }
}
