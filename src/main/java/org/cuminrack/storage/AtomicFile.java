package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Atomically replaces small files, and reads those of a single frame. */
final class AtomicFile {
  static final String UNFINISHED_SUFFIX = ".unfinished";

  private AtomicFile() {}

  /** Replaces a file; after a failure, the file is the old or the new one, and may be either. */
  static void write(Disk disk, Path file, byte[] content) throws IOException {
    Path unfinished = file.resolveSibling(file.getFileName() + UNFINISHED_SUFFIX);
    try {
      writeUnfinished(disk, unfinished, content);
    } catch (IOException e) {
      deleteIfExists(disk, unfinished, e);
      throw e;
    }
    disk.move(unfinished, file);
    disk.syncFolder(file.getParent());
  }

  private static void deleteIfExists(Disk disk, Path file, IOException cause) {
    try {
      if (Files.exists(file)) {
        disk.delete(file);
      }
    } catch (IOException e) {
      cause.addSuppressed(e);
    }
  }

  private static void writeUnfinished(Disk disk, Path file, byte[] content) throws IOException {
    try (DiskFile openFile = disk.open(file)) {
      openFile.truncate(0);
      openFile.write(0, content);
      openFile.sync();
    }
  }

  static byte[] read(Disk disk, Path file) throws IOException {
    try (DiskFile openFile = disk.open(file)) {
      Frame.Result result = Frame.read(openFile.readAll(), 0);
      if (result instanceof Frame.Result.Intact intact) {
        return intact.payload();
      }
      throw new CorruptionException(file, 0, result.toString());
    }
  }
}
