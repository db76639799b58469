package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Moves the files of a damaged data folder to a subfolder for inspection; only the latest set is
 * kept.
 */
final class DamagedFiles {
  static final String FOLDER = "damaged";

  private DamagedFiles() {}

  static void moveAside(Path folder) throws IOException {
    Path damaged = folder.resolve(FOLDER);
    if (Files.exists(damaged)) {
      deleteTree(damaged);
    }
    Files.createDirectory(damaged);
    for (Path file : filesOf(folder)) {
      Files.move(file, damaged.resolve(file.getFileName()));
    }
    Disk.local().syncFolder(folder);
  }

  /**
   * Returns the files to move, the identity file first: without it, the remaining files are not
   * accepted as intact.
   */
  private static List<Path> filesOf(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(Files::isRegularFile)
          .filter(file -> !file.getFileName().toString().equals(FolderLock.NAME))
          .sorted(Comparator.comparing(DamagedFiles::isNotIdentity))
          .toList();
    }
  }

  private static boolean isNotIdentity(Path file) {
    return !file.getFileName().toString().equals(IdentityFile.NAME);
  }

  private static void deleteTree(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
