package org.cuminrack.relay;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Checks the bytes of a response before the HTTP client parses them: its head, then the chunks of
 * its body, if it comes in chunks. Confined to one I/O thread.
 */
final class ResponseCheck {
  private final ResponseHeadCheck head = new ResponseHeadCheck();
  private final ChunkCheck chunks = new ChunkCheck();

  /** Checks further bytes; throws if HTTP doesn't allow them. */
  void accept(ByteBuffer bytes) throws IOException {
    head.accept(bytes);
    if (head.endsBeforeChunks()) {
      chunks.accept(bytes);
    }
  }
}
