package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Path;

/** The file operations used by the storage; tests replace it to inject faults. */
public interface Disk {

  /** Opens a file for reading and writing; creates it if it does not exist. */
  DiskFile open(Path file) throws IOException;

  /** Atomically renames a file and replaces the target if it exists. */
  void move(Path from, Path to) throws IOException;

  /** Deletes a file, or an empty folder. */
  void delete(Path file) throws IOException;

  /** Creates a folder and its parents, unless they exist. */
  void createFolders(Path folder) throws IOException;

  /** Makes earlier creations, renames and deletions of files in a folder durable. */
  void syncFolder(Path folder) throws IOException;

  /** Returns the local disk. */
  static Disk local() {
    return LocalDisk.INSTANCE;
  }
}
