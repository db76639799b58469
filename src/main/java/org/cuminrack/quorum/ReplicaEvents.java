package org.cuminrack.quorum;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.TreeSet;
import java.util.logging.Level;
import org.cuminrack.log.LogEvent;
import org.cuminrack.quorum.internal.CoreView;
import org.cuminrack.quorum.internal.MembershipPolicy;
import org.cuminrack.quorum.internal.Role;

/** Logs how a replica's role changes, which losses its group tolerates, and a missing quorum. */
final class ReplicaEvents {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** An election among reachable voters takes less than a second. */
  private static final Duration LEADER_MISSING_AFTER = Duration.ofSeconds(2);

  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(10);

  private final MembershipPolicy policy;
  private boolean leaderless;
  private long leaderlessSinceNanos;
  private long nextWarningNanos;

  ReplicaEvents(MembershipPolicy policy) {
    this.policy = policy;
  }

  /** Logs the start of a replica with the state that it has recovered. */
  void started(CoreView view, int entryCount) {
    LogEvent event =
        LogEvent.named("replica-started")
            .with("replica", view.self())
            .with("blank", view.role() == Role.BLANK)
            .with("entries", entryCount)
            .with("voters", voters(view));
    logger.atInfo().log("%s", event);
  }

  /** Logs what differs between the views before and after a step. */
  void stepped(CoreView before, CoreView after, long nowNanos) {
    if (before.role() != after.role() || !before.leader().equals(after.leader())) {
      logger.atInfo().log(
          "%s",
          LogEvent.named("replica-role")
              .with("role", after.role())
              .with("term", after.term())
              .with("leader", after.leader())
              .with("voters", voters(after)));
    }
    logTolerance(before, after);
    if (!hasNoLeader(after)) {
      leaderless = false;
      return;
    }
    if (!leaderless) {
      leaderless = true;
      leaderlessSinceNanos = nowNanos;
      nextWarningNanos = nowNanos + LEADER_MISSING_AFTER.toNanos();
    }
    if (nowNanos >= nextWarningNanos) {
      nextWarningNanos = nowNanos + REPEAT_INTERVAL.toNanos();
      warnOfMissingLeader(after, Duration.ofNanos(nowNanos - leaderlessSinceNanos));
    }
  }

  /** Logs whether the voters tolerate the losses that they have to, if this replica leads. */
  private void logTolerance(CoreView before, CoreView after) {
    boolean changed = !isSettled(before) || before.votersIndex() != after.votersIndex();
    if (!changed || !isSettled(after)) {
      return;
    }
    boolean satisfied = policy.isSatisfiedBy(after.voters());
    logger.at(satisfied ? Level.INFO : Level.WARNING).log(
        "%s",
        LogEvent.named(satisfied ? "losses-tolerated" : "losses-not-tolerated")
            .with("vm_losses", policy.tolerance().vmLosses())
            .with("data_centre_losses", policy.tolerance().dataCentreLosses())
            .with("voters_needed", policy.tolerance().voterCount())
            .with("voters", voters(after))
            .with("data_centres", after.voters().voterDataCentres()));
  }

  private static boolean isSettled(CoreView view) {
    return view.established() && view.votersAreSettled();
  }

  private static boolean hasNoLeader(CoreView view) {
    return view.leader().isEmpty();
  }

  /** Warns that a voter is not elected, or that a replica that does not vote finds no leader. */
  private static void warnOfMissingLeader(CoreView view, Duration since) {
    boolean electing = view.role() == Role.PRE_CANDIDATE || view.role() == Role.CANDIDATE;
    logger.atWarning().log(
        "%s",
        LogEvent.named(electing ? "quorum-missing" : "group-not-found")
            .with("role", view.role())
            .with("term", view.term())
            .with("since_ms", since.toMillis())
            .with("voters", voters(view))
            .with("answering", new TreeSet<>(view.answeringVoters())));
  }

  private static List<String> voters(CoreView view) {
    return view.voters() == null ? List.of() : List.copyOf(view.voters().incarnations().keySet());
  }
}
