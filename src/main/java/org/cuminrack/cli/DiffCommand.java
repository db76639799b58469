package org.cuminrack.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.Configuration;
import org.cuminrack.http.Json;
import org.cuminrack.operator.ConfigurationDiff;
import org.cuminrack.operator.ConfigurationFile;
import org.cuminrack.operator.ObjectChange;
import org.cuminrack.operator.OperatorClient;
import org.cuminrack.yaml.YamlError;

/** Prints the changes that applying a file would make. */
final class DiffCommand extends QueryCommand {

  DiffCommand() {
    super("diff", "prints the changes that applying a configuration file would make");
  }

  @Override
  void addOwnArguments(Subparser parser) {
    parser.addArgument("file").help("the configuration, as YAML");
  }

  @Override
  Either<String, String> query(OperatorClient client, Namespace arguments) {
    Either<List<YamlError>, List<ConfigObject>> desired =
        ConfigurationFile.read(Path.of(arguments.getString("file")));
    if (desired.isLeft()) {
      return Either.left(ApplyCommand.formatErrors(desired.getLeft()));
    }
    return client
        .configuration()
        .map(current -> format(current, desired.get(), OperatorArguments.isJsonOutput(arguments)));
  }

  private static String format(Configuration current, List<ConfigObject> desired, boolean json) {
    List<ObjectChange> changes = ConfigurationDiff.between(current, desired, false);
    if (json) {
      return Json.text(changes);
    }
    String head = "# against revision " + current.revision() + "\n";
    return head + String.join("\n", ConfigurationDiff.lines(changes));
  }
}
