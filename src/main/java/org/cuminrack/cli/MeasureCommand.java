package org.cuminrack.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.control.ControlMeasurement;
import org.cuminrack.log.Logging;
import org.cuminrack.relay.RelayMeasurement;

/** Measures the cost factors from which docs/CAPACITY.md is calculated. */
final class MeasureCommand extends BaseCommand {

  MeasureCommand() {
    super("measure", "measures the cost factors of docs/CAPACITY.md on this machine, on loopback");
  }

  @Override
  void addArguments(Subparser parser) {
    parser
        .addArgument("what")
        .nargs("?")
        .choices("control", "relay", "all")
        .setDefault("all")
        .help("control: sessions, changes and ledger (about 90 s); relay: streams (about 40 s)");
  }

  @Override
  public ExitCode run(Namespace arguments) {
    Logging.configureForCommand(Level.WARNING);
    String what = arguments.getString("what");
    try {
      if (!what.equals("relay")) {
        ControlMeasurement.run(System.out);
      }
      if (!what.equals("control")) {
        RelayMeasurement.run(System.out);
      }
      return ExitCode.DONE;
    } catch (IOException e) {
      throw new UncheckedIOException("can't run the measurement", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
