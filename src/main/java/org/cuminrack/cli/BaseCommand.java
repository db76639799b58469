package org.cuminrack.cli;

import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Base class of commands: registers the name, help text and arguments. */
abstract class BaseCommand implements Command {
  private final String name;
  private final String help;

  BaseCommand(String name, String help) {
    this.name = name;
    this.help = help;
  }

  @Override
  public final String name() {
    return name;
  }

  @Override
  public final void register(Subparsers subparsers) {
    addArguments(subparsers.addParser(name).help(help).description(help));
  }

  /** Adds the command's arguments. */
  abstract void addArguments(Subparser parser);
}
