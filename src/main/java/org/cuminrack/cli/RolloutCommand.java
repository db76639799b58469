package org.cuminrack.cli;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.operator.Rollouts;

/** Rolls out a version of a model. */
final class RolloutCommand extends ChangeCommand {

  RolloutCommand() {
    super("rollout", "rolls out a version of a model to every upstream of a service");
  }

  @Override
  void addOwnArguments(Subparser parser) {
    parser.addArgument("name").help("the rollout");
    parser
        .addArgument("--service")
        .required(true)
        .help("the service whose upstreams load the model");
    parser.addArgument("--model").required(true).help("the model to load");
    parser.addArgument("--version").required(true).help("the version to load");
    parser
        .addArgument("--max-unavailable")
        .type(Integer.class)
        .setDefault(1)
        .help("how many upstreams may be unavailable at a time (default: %(default)s)");
    parser
        .addArgument("--pause")
        .action(Arguments.storeTrue())
        .help("pause the rollout: no further upstream starts to load the model");
  }

  @Override
  Either<String, Collection<ConfigObject>> desired(Namespace arguments) {
    try {
      Rollouts rollout =
          Rollouts.rollout(arguments.getString("name"))
              .of(arguments.getString("model"), arguments.getString("version"))
              .on(arguments.getString("service"))
              .maxUnavailable(arguments.getInt("max_unavailable"));
      if (arguments.getBoolean("pause")) {
        rollout.paused();
      }
      return Either.right(List.of(rollout.build()));
    } catch (IllegalArgumentException e) {
      return Either.left(e.getMessage());
    }
  }
}
