package org.cuminrack.storage;

import java.io.IOException;

/**
 * Thrown when a write fails, which is treated as a full disk; the data stored before is unchanged.
 */
public final class DiskFullException extends IOException {
  private static final long serialVersionUID = 1L;

  DiskFullException(IOException cause) {
    super(cause.getMessage(), cause);
  }
}
