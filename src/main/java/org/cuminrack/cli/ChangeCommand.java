package org.cuminrack.cli;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.Collection;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Configuration;
import org.cuminrack.operator.ConfigurationDiff;
import org.cuminrack.operator.OperatorClient;

/** A command that changes the configuration to contain the desired objects. */
abstract class ChangeCommand extends BaseCommand {

  ChangeCommand(String name, String help) {
    super(name, help);
  }

  @Override
  final void addArguments(Subparser parser) {
    addOwnArguments(parser);
    OperatorArguments.addChangeArguments(parser);
  }

  @Override
  public final ExitCode run(Namespace arguments) {
    Either<String, Collection<ConfigObject>> desired = desired(arguments);
    if (desired.isLeft()) {
      err().println(desired.getLeft());
      return ExitCode.USAGE;
    }
    OperatorClient client = OperatorArguments.client(arguments);
    client.start();
    try {
      return applyChange(client, desired.get(), arguments);
    } finally {
      client.stop();
    }
  }

  private ExitCode applyChange(
      OperatorClient client, Collection<ConfigObject> desired, Namespace arguments) {
    Either<String, Configuration> current = client.configuration();
    if (current.isLeft()) {
      err().println("control can't be reached: " + current.getLeft());
      return ExitCode.FAILED;
    }
    return new ChangeSender(client, arguments, System.out, err())
        .send(ConfigurationDiff.between(current.get(), desired, prunes(arguments)));
  }

  private static PrintStream err() {
    return System.err;
  }

  /** Adds the command's own arguments. */
  abstract void addOwnArguments(Subparser parser);

  /** Returns the desired objects, or an error in the arguments. */
  abstract Either<String, Collection<ConfigObject>> desired(Namespace arguments);

  /** Returns whether objects that are not among the desired ones are removed. */
  boolean prunes(Namespace arguments) {
    return false;
  }
}
