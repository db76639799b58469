package org.cuminrack.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Files whose names end in a 20-digit number, so that sorting by name sorts by number. */
final class NumberedFiles {
  private static final String DIGITS = "\\d{20}";

  private NumberedFiles() {}

  static String name(String prefix, long number) {
    return String.format("%s%020d", prefix, number);
  }

  static long number(Path file, String prefix) {
    return Long.parseLong(file.getFileName().toString().substring(prefix.length()));
  }

  /** Returns the files with a prefix in ascending order of their numbers. */
  static List<Path> list(Path folder, String prefix) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().matches(prefix + DIGITS))
          .sorted()
          .toList();
    }
  }
}
