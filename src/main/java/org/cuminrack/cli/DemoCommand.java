package org.cuminrack.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.logging.Level;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.demo.Demo;
import org.cuminrack.log.Logging;

/** Runs a demonstration of all parts in one process, on loopback. */
final class DemoCommand extends BaseCommand {

  DemoCommand() {
    super("demo", "demonstrates all parts in one process, on loopback");
  }

  @Override
  void addArguments(Subparser parser) {
    parser.epilog("Exits with 0 if the generation is complete and the order was executed once.");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Logging.configureForCommand(Level.WARNING);
    try {
      Path folder = Files.createTempDirectory("cuminrack-demo-");
      try {
        return Demo.run(folder, System.out) ? ExitCode.DONE : ExitCode.FAILED;
      } finally {
        deleteRecursively(folder);
      }
    } catch (IOException e) {
      throw new UncheckedIOException("can't create or delete the demo's temporary folder", e);
    }
  }

  private static void deleteRecursively(Path folder) throws IOException {
    List<Path> deepestFirst;
    try (Stream<Path> paths = Files.walk(folder)) {
      deepestFirst = paths.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path each : deepestFirst) {
      Files.deleteIfExists(each);
    }
  }
}
