package org.cuminrack.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import org.cuminrack.http.Json;
import org.cuminrack.operator.ChangeReply;
import org.cuminrack.operator.ConfigurationDiff;
import org.cuminrack.operator.InForceStatus;
import org.cuminrack.operator.ObjectChange;
import org.cuminrack.operator.OperatorClient;

/** Sends a change and waits until it is in force everywhere. */
final class ChangeSender {
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(1);

  private final OperatorClient client;
  private final Namespace arguments;
  private final PrintStream out;
  private final PrintStream err;

  ChangeSender(OperatorClient client, Namespace arguments, PrintStream out, PrintStream err) {
    this.client = client;
    this.arguments = arguments;
    this.out = out;
    this.err = err;
  }

  /**
   * Sends the changes with the change id from the arguments, or with a new one, and prints the
   * progress until they are in force or the wait time has passed.
   */
  ExitCode send(List<ObjectChange> changes) {
    if (changes.isEmpty()) {
      print("nothing-to-change", new Progress("nothing-to-change", null, null));
      return ExitCode.DONE;
    }
    ObjectChange conflicting = firstChangedAfterLimit(changes);
    if (conflicting != null) {
      err.printf(
          "conflict: %s: expected a revision up to %d, found %d%n",
          conflicting.key(), arguments.getLong("at_revision"), conflicting.expectedRevision());
      return ExitCode.CONFLICT;
    }
    String changeId = OperatorArguments.changeId(arguments);
    if (!OperatorArguments.isJsonOutput(arguments)) {
      ConfigurationDiff.lines(changes).forEach(out::println);
    }
    return handleReply(changeId, client.change(changeId, changes));
  }

  private ObjectChange firstChangedAfterLimit(List<ObjectChange> changes) {
    Long limit = arguments.getLong("at_revision");
    if (limit == null) {
      return null;
    }
    return changes.stream()
        .filter(each -> each.expectedRevision() > limit)
        .findFirst()
        .orElse(null);
  }

  private ExitCode handleReply(String changeId, ChangeReply reply) {
    if (reply instanceof ChangeReply.Accepted accepted) {
      print(
          "accepted change-id=" + changeId + " revision=" + accepted.revision(),
          new Progress("accepted", changeId, accepted.revision()));
      return waitUntilInForce(accepted.revision());
    }
    if (reply instanceof ChangeReply.Conflict conflict) {
      err.printf(
          "conflict: %s: expected revision %d, found %d: %s%n",
          conflict.key(), conflict.expected(), conflict.found(), conflict.present());
      return ExitCode.CONFLICT;
    }
    if (reply instanceof ChangeReply.Invalid invalid) {
      err.println("refused: " + invalid.detail());
      return ExitCode.USAGE;
    }
    err.printf(
        "unknown: no answer (%s); the change may or may not have been accepted.%n"
            + "Run the same command again with --change-id %s%n",
        ((ChangeReply.Unknown) reply).detail(), changeId);
    return ExitCode.UNKNOWN;
  }

  private ExitCode waitUntilInForce(long revision) {
    long remainingMillis = arguments.getInt("wait_millis");
    if (remainingMillis == 0) {
      return ExitCode.DONE;
    }
    while (remainingMillis > 0) {
      Duration pollTimeout = Duration.ofMillis(Math.min(remainingMillis, POLL_TIMEOUT.toMillis()));
      InForceStatus status = client.inForce(revision, pollTimeout).getOrNull();
      if (status != null && status.inForce()) {
        print("in force everywhere revision=" + revision, new Progress("in-force", null, revision));
        return ExitCode.DONE;
      }
      remainingMillis -= pollTimeout.toMillis();
      print("waiting for " + waitingFor(status), new Progress("waiting", null, revision));
    }
    err.println("accepted, but not in force everywhere within the wait time");
    return ExitCode.NOT_IN_FORCE;
  }

  private static String waitingFor(InForceStatus status) {
    return status == null ? "control" : String.join(", ", status.waitingFor());
  }

  private void print(String text, Progress progress) {
    out.println(OperatorArguments.isJsonOutput(arguments) ? Json.text(progress) : text);
  }

  /** One line of the JSON output. */
  private record Progress(String state, String changeId, Long revision) {}
}
