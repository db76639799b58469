package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Keeps the files of a damaged disk for people to look at; only the last time's. */
final class DamagedFiles {
  static final String FOLDER = "damaged";

  private DamagedFiles() {}

  static void setAside(Path folder) throws IOException {
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

  /** The identity goes first: without it, the rest can't be taken for a whole disk. */
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
