package org.cuminrack.storage;

import java.io.IOException;

/** A write found no room; what was there before is as it was. */
public final class DiskFullException extends IOException {
  private static final long serialVersionUID = 1L;

  DiskFullException(IOException cause) {
    super(cause.getMessage(), cause);
  }
}
