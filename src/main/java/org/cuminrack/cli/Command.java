package org.cuminrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** One sub-command of the binary. */
public interface Command {

  /** Returns the word that chooses this command. */
  String name();

  /** Describes the command and its arguments to the parser. */
  void describe(Subparsers subparsers);

  /**
   * Runs the command to its end.
   *
   * @return the process's exit code; see {@link ExitCode}
   */
  ExitCode run(Namespace arguments);
}
