package org.cuminrack.cli;

import java.util.List;
import java.util.logging.Level;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.cuminrack.log.Logging;
import org.cuminrack.log.NoResetLogManager;

/** The main class of the binary. */
public final class Main {
  private static final String COMMAND = "command";

  static {
    // Before the commands are created, because their loggers initialise java.util.logging.
    System.setProperty(NoResetLogManager.PROPERTY, NoResetLogManager.class.getName());
  }

  private static final List<Command> COMMANDS =
      List.of(
          new ApplyCommand(),
          new DiffCommand(),
          new GetCommand(),
          new StatusCommand(),
          NamedChangeCommand.drain(),
          NamedChangeCommand.undrain(),
          NamedChangeCommand.retire(),
          NamedChangeCommand.reinstate(),
          new RolloutCommand(),
          new DumpCommand(),
          new CheckCommand(),
          new ExplainCommand(),
          new StandInCommand(),
          new ControlCommand(),
          new EntryCommand(),
          new GatewayCommand(),
          new RehearseCommand(),
          new DemoCommand(),
          new LoadCommand(),
          new MeasureCommand());

  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args).code());
  }

  /** Parses a command line and runs its command. */
  static ExitCode run(String... args) {
    ArgumentParser parser = parser();
    try {
      Namespace arguments = parser.parseArgs(args);
      Logging.configureForCommand(Level.INFO);
      return command(arguments.getString(COMMAND)).run(arguments);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return e instanceof HelpScreenException ? ExitCode.DONE : ExitCode.USAGE;
    }
  }

  static ArgumentParser parser() {
    ArgumentParser parser = ArgumentParsers.newFor("cuminrack").build();
    parser.description(
        "Routes and admits LLM generations and plain HTTP calls to engines under heavy load.");
    Subparsers subparsers = parser.addSubparsers().dest(COMMAND).metavar("COMMAND");
    COMMANDS.forEach(each -> each.register(subparsers));
    return parser;
  }

  private static Command command(String name) {
    return COMMANDS.stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("unknown command " + name));
  }
}
