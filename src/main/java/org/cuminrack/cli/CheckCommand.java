package org.cuminrack.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.operator.ConfigurationFile;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.yaml.YamlError;

/** Validates a settings or configuration file without applying it; prints all errors. */
final class CheckCommand extends BaseCommand {

  CheckCommand() {
    super("check", "checks a settings or configuration file and prints the location of each error");
  }

  @Override
  void addArguments(Subparser parser) {
    parser
        .addArgument("--kind")
        .choices("control", "entry", "gateway", "configuration")
        .setDefault("configuration")
        .help("the kind of file (default: %(default)s)");
    parser.addArgument("file").help("the file");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Path file = Path.of(arguments.getString("file"));
    Either<List<YamlError>, ?> result =
        switch (arguments.getString("kind")) {
          case "control" -> SettingsFile.control(file);
          case "entry" -> SettingsFile.entry(file);
          case "gateway" -> SettingsFile.gateway(file);
          default -> ConfigurationFile.read(file);
        };
    if (result.isLeft()) {
      System.err.println(ApplyCommand.formatErrors(result.getLeft()));
      return ExitCode.USAGE;
    }
    System.out.println(file + ": no errors");
    return ExitCode.DONE;
  }
}
