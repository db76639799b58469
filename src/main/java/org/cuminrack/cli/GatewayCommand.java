package org.cuminrack.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.process.GatewayProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.time.Clock;
import org.cuminrack.yaml.YamlError;

/** Runs a gateway process until it receives a stop signal. */
final class GatewayCommand extends ServeCommand {

  GatewayCommand() {
    super("gateway", "runs a gateway process: relays callers' requests to upstreams");
  }

  @Override
  Either<List<YamlError>, ManagedService> createProcess(Path settings) {
    return SettingsFile.gateway(settings).map(each -> new GatewayProcess(each, Clock.system()));
  }
}
