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

/** A command that changes the configuration towards objects that its arguments name. */
abstract class ChangeCommand extends DescribedCommand {

  ChangeCommand(String name, String help) {
    super(name, help);
  }

  @Override
  final void describeArguments(Subparser parser) {
    describeOwnArguments(parser);
    OperatorArguments.describeChange(parser);
  }

  @Override
  public final ExitCode run(Namespace arguments) {
    Either<String, Collection<ConfigObject>> wanted = wanted(arguments);
    if (wanted.isLeft()) {
      err().println(wanted.getLeft());
      return ExitCode.USAGE;
    }
    OperatorClient client = OperatorArguments.client(arguments);
    client.start();
    try {
      return change(client, wanted.get(), arguments);
    } finally {
      client.stop();
    }
  }

  private ExitCode change(
      OperatorClient client, Collection<ConfigObject> wanted, Namespace arguments) {
    Either<String, Configuration> present = client.configuration();
    if (present.isLeft()) {
      err().println("control can't be reached: " + present.getLeft());
      return ExitCode.FAILED;
    }
    return new ChangeRun(client, arguments, System.out, err())
        .run(ConfigurationDiff.between(present.get(), wanted, prunes(arguments)));
  }

  private static PrintStream err() {
    return System.err;
  }

  /** Adds the command's own arguments. */
  abstract void describeOwnArguments(Subparser parser);

  /** Returns the objects as they are to be, or what is wrong with the arguments. */
  abstract Either<String, Collection<ConfigObject>> wanted(Namespace arguments);

  /** Tells whether objects that are not wanted are removed. */
  boolean prunes(Namespace arguments) {
    return false;
  }
}
