package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when synced data cannot be read back unchanged. */
final class CorruptionException extends IOException {
  private static final long serialVersionUID = 1L;

  CorruptionException(Path file, long offset, String detail) {
    super(file.getFileName() + " at byte " + offset + ": " + detail);
  }
}
