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

/** Shows the whole path on loopback, in one process. */
final class DemoCommand extends DescribedCommand {

  DemoCommand() {
    super("demo", "shows the whole path on loopback, in one process");
  }

  @Override
  void describeArguments(Subparser parser) {
    parser.epilog("Exits with 0 where the generation came whole and the order ran once.");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Logging.configure(Level.WARNING);
    try {
      Path folder = Files.createTempDirectory("cuminrack-demo-");
      try {
        return Demo.run(folder, System.out) ? ExitCode.DONE : ExitCode.FAILED;
      } finally {
        delete(folder);
      }
    } catch (IOException e) {
      throw new UncheckedIOException("the demo's folder can't be used", e);
    }
  }

  private static void delete(Path folder) throws IOException {
    List<Path> all;
    try (Stream<Path> paths = Files.walk(folder)) {
      all = paths.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path each : all) {
      Files.deleteIfExists(each);
    }
  }
}
