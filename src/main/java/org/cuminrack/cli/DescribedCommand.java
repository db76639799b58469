package org.cuminrack.cli;

import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A command with a name, a help line and arguments. */
abstract class DescribedCommand implements Command {
  private final String name;
  private final String help;

  DescribedCommand(String name, String help) {
    this.name = name;
    this.help = help;
  }

  @Override
  public final String name() {
    return name;
  }

  @Override
  public final void describe(Subparsers subparsers) {
    describeArguments(subparsers.addParser(name).help(help).description(help));
  }

  /** Adds the command's arguments. */
  abstract void describeArguments(Subparser parser);
}
