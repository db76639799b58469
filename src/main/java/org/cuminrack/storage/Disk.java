package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;

/** The few operations on files that the storage needs; tests put faults in here. */
public interface Disk {

  /** Opens a file for reading and writing; makes it if it isn't there. */
  DiskFile open(Path file) throws IOException;

  /** Renames a file over another one, as one step. */
  void move(Path from, Path to) throws IOException;

  void delete(Path file) throws IOException;

  /** Makes names in a folder last: files made, renamed or deleted before. */
  void syncFolder(Path folder) throws IOException;

  /** Returns the machine's own disk. */
  static Disk local() {
    return LocalDisk.INSTANCE;
  }
}
