package org.cuminrack.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.process.ControlProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.time.Clock;
import org.cuminrack.yaml.YamlError;

/** Runs a control process until it receives a stop signal. */
final class ControlCommand extends ServeCommand {

  ControlCommand() {
    super("control", "runs a control process: replicated, durable state on a VM with a disk");
  }

  @Override
  Either<List<YamlError>, ManagedService> createProcess(Path settings) {
    return SettingsFile.control(settings).map(each -> new ControlProcess(each, Clock.system()));
  }
}
