package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and atomically replaces files of a single frame. */
final class AtomicFile {
  static final String UNFINISHED_SUFFIX = ".unfinished";

  private AtomicFile() {}

  static void write(Disk disk, Path file, byte[] frame) throws IOException {
    Path unfinished = file.resolveSibling(file.getFileName() + UNFINISHED_SUFFIX);
    try {
      writeUnfinished(disk, unfinished, frame);
    } catch (IOException e) {
      Files.deleteIfExists(unfinished);
      throw e;
    }
    disk.move(unfinished, file);
    disk.syncFolder(file.getParent());
  }

  private static void writeUnfinished(Disk disk, Path file, byte[] frame) throws IOException {
    try (DiskFile openFile = disk.open(file)) {
      openFile.truncate(0);
      openFile.write(0, frame);
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
