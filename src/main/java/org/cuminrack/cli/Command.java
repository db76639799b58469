package org.cuminrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A subcommand of the binary. */
public interface Command {

  /** Returns the name of this command on the command line. */
  String name();

  /** Registers the command and its arguments with the parser. */
  void register(Subparsers subparsers);

  /**
   * Runs the command until it completes.
   *
   * @return the process's exit code; see {@link ExitCode}
   */
  ExitCode run(Namespace arguments);
}
