package org.cuminrack.cli;

import io.vavr.control.Either;
import net.sourceforge.argparse4j.inf.Namespace;
import org.cuminrack.config.Configuration;
import org.cuminrack.http.Json;
import org.cuminrack.operator.OperatorClient;
import org.cuminrack.operator.Plan;

/** Prints the configuration in the format that {@code apply} reads. */
final class GetCommand extends QueryCommand {

  GetCommand() {
    super("get", "prints the configuration that control has accepted");
  }

  @Override
  Either<String, String> query(OperatorClient client, Namespace arguments) {
    return client
        .configuration()
        .map(each -> OperatorArguments.isJsonOutput(arguments) ? toJson(each) : toYaml(each));
  }

  private static String toJson(Configuration configuration) {
    return Json.text(configuration.objects());
  }

  private static String toYaml(Configuration configuration) {
    Plan plan = Plan.empty();
    configuration.objects().forEach(each -> plan.with(each.object()));
    return "# revision " + configuration.revision() + "\n" + plan.toYaml();
  }
}
