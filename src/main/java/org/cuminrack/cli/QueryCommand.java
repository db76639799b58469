package org.cuminrack.cli;

import io.vavr.control.Either;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.operator.OperatorClient;

/** A command that queries control and prints the response. */
abstract class QueryCommand extends BaseCommand {

  QueryCommand(String name, String help) {
    super(name, help);
  }

  @Override
  final void addArguments(Subparser parser) {
    addOwnArguments(parser);
    OperatorArguments.addControlArguments(parser);
  }

  @Override
  public final ExitCode run(Namespace arguments) {
    OperatorClient client = OperatorArguments.client(arguments);
    client.start();
    try {
      return query(client, arguments)
          .fold(
              failure -> printFailure(System.err, failure), text -> printResult(System.out, text));
    } finally {
      client.stop();
    }
  }

  private static ExitCode printFailure(PrintStream err, String failure) {
    err.println("control can't be reached: " + failure);
    return ExitCode.FAILED;
  }

  private static ExitCode printResult(PrintStream out, String text) {
    out.print(text.endsWith("\n") || text.isEmpty() ? text : text + "\n");
    return ExitCode.DONE;
  }

  /** Adds the command's own arguments. */
  void addOwnArguments(Subparser parser) {}

  /** Returns the text to print, or the reason for a failure. */
  abstract Either<String, String> query(OperatorClient client, Namespace arguments);
}
