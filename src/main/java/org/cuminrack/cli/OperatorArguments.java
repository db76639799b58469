package org.cuminrack.cli;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminrack.operator.OperatorClient;
import org.cuminrack.time.Clock;

/** The arguments that several operator commands share. */
final class OperatorArguments {
  private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;
  private static final int DEFAULT_WAIT_MILLIS = 20_000;

  private OperatorArguments() {}

  /** Adds the arguments for calls to control. */
  static void addControlArguments(Subparser parser) {
    parser
        .addArgument("--control")
        .required(true)
        .metavar("HOST:PORT,…")
        .help("HTTP addresses of the control VMs");
    parser
        .addArgument("--timeout-millis")
        .type(Integer.class)
        .setDefault(DEFAULT_TIMEOUT_MILLIS)
        .help("how long to wait for an answer, in milliseconds (default: %(default)s)");
    parser
        .addArgument("--output")
        .choices("text", "json")
        .setDefault("text")
        .help("the output format (default: %(default)s)");
  }

  /** Adds the arguments for sending a change. */
  static void addChangeArguments(Subparser parser) {
    addControlArguments(parser);
    parser
        .addArgument("--change-id")
        .metavar("ID")
        .help("makes a retry safe: the same id returns the first result (default: a new id)");
    parser
        .addArgument("--at-revision")
        .type(Long.class)
        .metavar("R")
        .help("reject the change if one of its objects was changed after this revision");
    parser
        .addArgument("--wait-millis")
        .type(Integer.class)
        .setDefault(DEFAULT_WAIT_MILLIS)
        .help(
            "how long to wait until the change is in force everywhere, in milliseconds; 0: no wait"
                + " (default: %(default)s)");
  }

  static OperatorClient client(Namespace arguments) {
    List<String> addresses = Arrays.asList(arguments.getString("control").split(","));
    Duration timeout = Duration.ofMillis(arguments.getInt("timeout_millis"));
    return new OperatorClient(addresses, timeout, Clock.system());
  }

  static boolean isJsonOutput(Namespace arguments) {
    return "json".equals(arguments.getString("output"));
  }

  static String changeId(Namespace arguments) {
    String given = arguments.getString("change_id");
    return given != null ? given : UUID.randomUUID().toString();
  }
}
