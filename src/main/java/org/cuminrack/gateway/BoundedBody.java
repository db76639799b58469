package org.cuminrack.gateway;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;

/** Collects a response body up to a maximum size. */
final class BoundedBody {
  private final int maxBytes;
  private final ByteString.Output bytes = ByteString.newOutput();

  BoundedBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Appends bytes; returns false, and appends nothing, if the body would be too large. */
  boolean append(ByteBuffer part) {
    if (bytes.size() + part.remaining() > maxBytes) {
      return false;
    }
    byte[] copy = new byte[part.remaining()];
    part.get(copy);
    bytes.write(copy, 0, copy.length);
    return true;
  }

  ByteString toByteString() {
    return bytes.toByteString();
  }
}
