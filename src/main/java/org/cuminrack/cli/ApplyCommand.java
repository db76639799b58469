package org.cuminrack.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.operator.ConfigurationFile;
import org.cuminrack.yaml.YamlError;

/** Applies a configuration file. */
final class ApplyCommand extends ChangeCommand {

  ApplyCommand() {
    super("apply", "applies a configuration file");
  }

  @Override
  void addOwnArguments(Subparser parser) {
    parser.addArgument("file").help("the configuration, as YAML");
    parser
        .addArgument("--prune")
        .action(Arguments.storeTrue())
        .help("remove objects that are not in the file");
  }

  @Override
  Either<String, Collection<ConfigObject>> desired(Namespace arguments) {
    return ConfigurationFile.read(Path.of(arguments.getString("file")))
        .<Collection<ConfigObject>>map(objects -> objects)
        .mapLeft(ApplyCommand::formatErrors);
  }

  @Override
  boolean prunes(Namespace arguments) {
    return arguments.getBoolean("prune");
  }

  /** Returns the errors, one per line. */
  static String formatErrors(List<YamlError> errors) {
    return errors.stream().map(YamlError::toString).collect(Collectors.joining("\n"));
  }
}
