package org.cuminrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Runs a small installation on loopback twice. A class-data sharing archive is recorded from it, so
 * that real processes restart faster after a kill.
 */
final class RehearseCommand extends BaseCommand {
  private static final int RUNS = 2;

  RehearseCommand() {
    super(
        "rehearse",
        "serves requests with control, a gateway and an upstream on loopback, to load classes");
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--folder")
        .required(true)
        .metavar("FOLDER")
        .help("an empty folder for the state");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Path folder = Path.of(arguments.getString("folder"));
    try {
      Files.createDirectories(folder);
      Rehearsal rehearsal = new Rehearsal(folder);
      for (int run = 1; run <= RUNS; run++) {
        rehearsal.run(run);
      }
      return ExitCode.DONE;
    } catch (IOException e) {
      System.err.println("rehearse: " + folder + ": " + e.getMessage());
      return ExitCode.FAILED;
    }
  }
}
