package org.cuminrack.relay;

import java.io.IOException;

/**
 * Bounds the bytes of a response that are read without becoming a head or a part of a body: a head,
 * chunk size or trailer may come without end. Confined to one I/O thread.
 */
final class ReadLimit {
  private final int maxBytes;
  private int bytes;

  ReadLimit(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Counts bytes that were read; throws if there were too many since the last progress. */
  void recordRead(long count) throws IOException {
    if (count <= 0) {
      return;
    }
    bytes += (int) Math.min(count, maxBytes);
    if (bytes > maxBytes) {
      throw new IOException(
          "expected a head or a part of a body within " + maxBytes + " bytes, found none");
    }
  }

  /** Records that the bytes so far were a head or a part of a body. */
  void recordProgress() {
    bytes = 0;
  }
}
