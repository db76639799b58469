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

/** Prints what applying a file would change. */
final class DiffCommand extends QueryCommand {

  DiffCommand() {
    super("diff", "prints what applying a configuration file would change");
  }

  @Override
  void describeOwnArguments(Subparser parser) {
    parser.addArgument("file").help("the configuration, as YAML");
  }

  @Override
  Either<String, String> answer(OperatorClient client, Namespace arguments) {
    Either<List<YamlError>, List<ConfigObject>> wanted =
        ConfigurationFile.read(Path.of(arguments.getString("file")));
    if (wanted.isLeft()) {
      return Either.left(ApplyCommand.text(wanted.getLeft()));
    }
    return client
        .configuration()
        .map(present -> print(present, wanted.get(), OperatorArguments.json(arguments)));
  }

  private static String print(Configuration present, List<ConfigObject> wanted, boolean json) {
    List<ObjectChange> changes = ConfigurationDiff.between(present, wanted, false);
    if (json) {
      return Json.text(changes);
    }
    String head = "# against revision " + present.revision() + "\n";
    return head + String.join("\n", ConfigurationDiff.lines(changes));
  }
}
