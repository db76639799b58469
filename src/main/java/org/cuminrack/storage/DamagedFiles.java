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

  static void moveAside(Disk disk, Path folder) throws IOException {
    Path damaged = folder.resolve(FOLDER);
    // Without the identity, an earlier attempt has been interrupted, and goes on with the same set.
    if (Files.exists(damaged) && IdentityFile.exists(folder)) {
      deleteTree(disk, damaged);
    }
    disk.createFolders(damaged);
    for (Path file : filesOf(folder)) {
      disk.move(file, damaged.resolve(file.getFileName()));
    }
    disk.syncFolder(folder);
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

  private static void deleteTree(Disk disk, Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        disk.delete(file);
      }
    }
  }
}
