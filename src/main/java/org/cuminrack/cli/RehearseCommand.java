package org.cuminrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Plays two lives of a small installation on loopback. A class-data archive is recorded from it, so
 * that real processes are back sooner after a kill.
 */
final class RehearseCommand extends DescribedCommand {
  private static final int LIVES = 2;

  RehearseCommand() {
    super(
        "rehearse",
        "serves requests with control, a gateway and an upstream on loopback, to load classes");
  }

  @Override
  public void describeArguments(Subparser parser) {
    parser.addArgument("--folder").required(true).metavar("FOLDER").help("an empty folder to use");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Path folder = Path.of(arguments.getString("folder"));
    try {
      Files.createDirectories(folder);
      Rehearsal rehearsal = new Rehearsal(folder);
      for (int life = 1; life <= LIVES; life++) {
        rehearsal.play(life);
      }
      return ExitCode.DONE;
    } catch (IOException e) {
      System.err.println("rehearse: " + folder + ": " + e.getMessage());
      return ExitCode.FAILED;
    }
  }
}
