package org.cuminrack.storage;

import java.io.Closeable;
import java.io.IOException;

/** An open file. */
public interface DiskFile extends Closeable {

  /** Returns the length in bytes. */
  long size() throws IOException;

  /** Returns the whole content. */
  byte[] readAll() throws IOException;

  /** Writes all bytes at a place; throws if there is no room, and may then have written a part. */
  void write(long position, byte[] bytes) throws IOException;

  /** Cuts the file to a length. */
  void truncate(long size) throws IOException;

  /** Makes all that was written last. */
  void sync() throws IOException;
}
