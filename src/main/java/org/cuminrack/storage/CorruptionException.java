package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Something that was synced can't be read back as it was. */
final class CorruptionException extends IOException {
  private static final long serialVersionUID = 1L;

  CorruptionException(Path file, long offset, String detail) {
    super(file.getFileName() + " at byte " + offset + ": " + detail);
  }
}
