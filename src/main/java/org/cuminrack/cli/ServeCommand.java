package org.cuminrack.cli;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.lifecycle.FailureHandler;
import org.cuminrack.lifecycle.ManagedService;
import org.cuminrack.log.LogEvent;
import org.cuminrack.log.Logging;
import org.cuminrack.process.ReloadSignal;
import org.cuminrack.process.Reloadable;
import org.cuminrack.process.StopSignal;
import org.cuminrack.yaml.YamlError;

/** A command that serves until the process receives a stop signal. */
abstract class ServeCommand extends BaseCommand {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  ServeCommand(String name, String help) {
    super(name, help);
  }

  @Override
  final void addArguments(Subparser parser) {
    parser.addArgument("--settings").required(true).metavar("FILE").help("the settings, as YAML");
  }

  @Override
  public final ExitCode run(Namespace arguments) {
    Path settings = Path.of(arguments.getString("settings"));
    Either<List<YamlError>, ManagedService> process = createProcess(settings);
    if (process.isLeft()) {
      System.err.println(ApplyCommand.formatErrors(process.getLeft()));
      return ExitCode.USAGE;
    }
    Logging.configureForService(Level.INFO);
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, e) -> FailureHandler.endingProcess().failed(thread.getName(), e));
    if (process.get() instanceof Reloadable reloadable) {
      ReloadSignal.onSighup(() -> reloadable.reload(settings));
    }
    return serve(process.get());
  }

  private static ExitCode serve(ManagedService process) {
    try {
      process.start();
    } catch (RuntimeException e) {
      logger.atSevere().log("%s", LogEvent.named("start-failed").with("detail", e.getMessage()));
      Logging.flush();
      return ExitCode.FAILED;
    }
    StopSignal signal = StopSignal.install();
    signal.await();
    process.stop();
    Logging.flush();
    signal.allowExit();
    return ExitCode.DONE;
  }

  /** Creates the process without starting it, or returns the errors in its settings. */
  abstract Either<List<YamlError>, ManagedService> createProcess(Path settings);
}
