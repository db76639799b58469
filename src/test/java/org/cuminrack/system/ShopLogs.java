package org.cuminrack.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads the executed calls of a test's shops from their logs, which survive crashes. */
final class ShopLogs {
  private static final Pattern EXECUTED = Pattern.compile("event=executed key=(\\S+)");

  private ShopLogs() {}

  /** Returns the number of executions of each key, over all runs of all shop processes. */
  static Map<String, Integer> executionsByKey(Path folder) throws IOException {
    Map<String, Integer> executions = new HashMap<>();
    for (Path log : logFiles(folder)) {
      Matcher matcher = EXECUTED.matcher(Files.readString(log));
      while (matcher.find()) {
        executions.merge(matcher.group(1), 1, Integer::sum);
      }
    }
    return executions;
  }

  private static List<Path> logFiles(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(each -> each.getFileName().toString().startsWith("shop-")).toList();
    }
  }
}
