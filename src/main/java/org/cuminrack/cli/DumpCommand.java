package org.cuminrack.cli;

import io.undertow.util.Methods;
import io.vavr.control.Either;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpFailure;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.Json;

/** Prints the state of any process. */
final class DumpCommand extends BaseCommand {

  DumpCommand() {
    super("dump", "prints the state of a process");
  }

  @Override
  void addArguments(Subparser parser) {
    parser
        .addArgument("--address")
        .required(true)
        .metavar("HOST:PORT")
        .help("the process's HTTP address");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    HttpClient client = new HttpClient();
    client.start();
    try {
      HttpCall call = HttpCall.of(Methods.GET, arguments.getString("address"), "/dump");
      Either<HttpFailure, HttpResponse> response = client.send(call).join();
      if (response.isLeft()) {
        System.err.println("no answer: " + response.getLeft());
        return ExitCode.FAILED;
      }
      System.out.println(formatBody(response.get()));
      return ExitCode.DONE;
    } finally {
      client.stop();
    }
  }

  private static String formatBody(HttpResponse response) {
    return Json.readTree(response.body().toByteArray())
        .fold(failure -> response.text(), tree -> tree.toPrettyString());
  }
}
