package org.cuminrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.log.LogLine;
import org.cuminrack.log.RequestExplanation;

/** Prints the lines of the given log files that explain the outcome of a request. */
final class ExplainCommand extends BaseCommand {

  ExplainCommand() {
    super(
        "explain", "prints the lines of the given log files that explain the outcome of a request");
  }

  @Override
  void addArguments(Subparser parser) {
    parser.addArgument("request").help("the request's id");
    parser.addArgument("file").nargs("+").help("log files of gateways and control VMs");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    String request = arguments.getString("request");
    List<LogLine> lines = new ArrayList<>();
    for (Object file : arguments.getList("file")) {
      try (Stream<String> fileLines = Files.lines(Path.of(file.toString()))) {
        fileLines.map(LogLine::parse).flatMap(Optional::stream).forEach(lines::add);
      } catch (IOException e) {
        System.err.println(file + ": expected a readable file, found " + e.getMessage());
        return ExitCode.USAGE;
      }
    }
    List<LogLine> explanation = RequestExplanation.of(request, lines);
    explanation.forEach(each -> System.out.println(each.text()));
    if (explanation.isEmpty()) {
      System.err.println("no log line mentions request " + request);
      return ExitCode.FAILED;
    }
    return ExitCode.DONE;
  }
}
