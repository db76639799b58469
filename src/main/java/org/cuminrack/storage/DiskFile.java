package org.cuminrack.storage;

import java.io.Closeable;
import java.io.IOException;

/** An open file. */
public interface DiskFile extends Closeable {

  /** Returns the length in bytes. */
  long size() throws IOException;

  /** Returns the whole content. */
  byte[] readAll() throws IOException;

  /** Returns the first bytes, at most as many as given. */
  byte[] readStart(int maxBytes) throws IOException;

  /** Writes all bytes at a position; throws if the disk refuses, possibly after a partial write. */
  void write(long position, byte[] bytes) throws IOException;

  /** Truncates the file to a length in bytes. */
  void truncate(long size) throws IOException;

  /**
   * Makes all earlier writes durable. After a failure, it is unknown which of them are, and a later
   * sync covers only what is written anew.
   */
  void sync() throws IOException;
}
