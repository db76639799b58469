package org.cuminrack.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.process.EntryProcess;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.time.Clock;
import org.cuminrack.yaml.YamlError;

/** Runs an entry process until it receives a stop signal. */
final class EntryCommand extends ServeCommand {

  EntryCommand() {
    super("entry", "runs an entry process: serves callers and dispatches requests to upstreams");
  }

  @Override
  Either<List<YamlError>, ManagedService> createProcess(Path settings) {
    return SettingsFile.entry(settings).map(each -> new EntryProcess(each, Clock.system()));
  }
}
