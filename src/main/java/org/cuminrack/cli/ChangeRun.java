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

/** Sends a change and follows it until it is in force everywhere. */
final class ChangeRun {
  private static final Duration STEP = Duration.ofSeconds(1);

  private final OperatorClient client;
  private final Namespace arguments;
  private final PrintStream out;
  private final PrintStream err;

  ChangeRun(OperatorClient client, Namespace arguments, PrintStream out, PrintStream err) {
    this.client = client;
    this.arguments = arguments;
    this.out = out;
    this.err = err;
  }

  /** Sends the changes under the change id of the arguments, or a new one. */
  ExitCode run(List<ObjectChange> changes) {
    if (changes.isEmpty()) {
      say("nothing-to-change", new Verdict("nothing-to-change", null, null));
      return ExitCode.DONE;
    }
    ObjectChange newer = changedSince(changes);
    if (newer != null) {
      err.printf(
          "conflict: %s: expected a revision up to %d, found %d%n",
          newer.key(), arguments.getLong("at_revision"), newer.expectedRevision());
      return ExitCode.CONFLICT;
    }
    String changeId = OperatorArguments.changeId(arguments);
    if (!OperatorArguments.json(arguments)) {
      ConfigurationDiff.lines(changes).forEach(out::println);
    }
    return follow(changeId, client.change(changeId, changes));
  }

  private ObjectChange changedSince(List<ObjectChange> changes) {
    Long limit = arguments.getLong("at_revision");
    if (limit == null) {
      return null;
    }
    return changes.stream()
        .filter(each -> each.expectedRevision() > limit)
        .findFirst()
        .orElse(null);
  }

  private ExitCode follow(String changeId, ChangeReply reply) {
    if (reply instanceof ChangeReply.Accepted accepted) {
      say(
          "accepted change-id=" + changeId + " revision=" + accepted.revision(),
          new Verdict("accepted", changeId, accepted.revision()));
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
        "unknown: no answer (%s); nobody can say yet whether it was accepted.%n"
            + "Run the same command again with --change-id %s%n",
        ((ChangeReply.Unknown) reply).detail(), changeId);
    return ExitCode.UNKNOWN;
  }

  private ExitCode waitUntilInForce(long revision) {
    long leftMillis = arguments.getInt("wait_millis");
    if (leftMillis == 0) {
      return ExitCode.DONE;
    }
    while (leftMillis > 0) {
      Duration step = Duration.ofMillis(Math.min(leftMillis, STEP.toMillis()));
      InForceStatus state = client.inForce(revision, step).getOrNull();
      if (state != null && state.inForce()) {
        say("in force everywhere revision=" + revision, new Verdict("in-force", null, revision));
        return ExitCode.DONE;
      }
      leftMillis -= step.toMillis();
      say("waiting for " + waitingFor(state), new Verdict("waiting", null, revision));
    }
    err.println("accepted, but not in force everywhere in the time given");
    return ExitCode.NOT_IN_FORCE;
  }

  private static String waitingFor(InForceStatus state) {
    return state == null ? "control" : String.join(", ", state.waitingFor());
  }

  private void say(String text, Verdict verdict) {
    out.println(OperatorArguments.json(arguments) ? Json.text(verdict) : text);
  }

  /** One line of progress, as JSON. */
  private record Verdict(String state, String changeId, Long revision) {}
}
