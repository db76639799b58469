package org.cuminrack.cli;

import io.vavr.control.Either;
import net.sourceforge.argparse4j.inf.Namespace;
import org.cuminrack.operator.OperatorClient;

/** Prints the state of the control group and the entries. */
final class StatusCommand extends QueryCommand {

  StatusCommand() {
    super("status", "prints the state of the control group and the entries");
  }

  @Override
  Either<String, String> query(OperatorClient client, Namespace arguments) {
    return client
        .status()
        .map(
            each ->
                OperatorArguments.isJsonOutput(arguments)
                    ? each.toString()
                    : each.toPrettyString());
  }
}
