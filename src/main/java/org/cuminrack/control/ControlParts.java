package org.cuminrack.control;

import java.time.Duration;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;

/** What the parts of the control service share. */
record ControlParts(
    ReplicatedLog log,
    ControlState state,
    Leadership leadership,
    Proposer proposer,
    LeadershipConfirmer confirmer,
    Waiters waiters,
    Clock clock) {
  /** How long a confirmation of leadership may take. */
  private static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(1);

  static ControlParts of(
      ReplicatedLog log, ControlState state, LeaseSettings settings, Clock clock) {
    Leadership leadership = new Leadership(log, state, settings, clock);
    return new ControlParts(
        log,
        state,
        leadership,
        new Proposer(log, leadership),
        new LeadershipConfirmer(log, CONFIRM_TIMEOUT),
        new Waiters(clock),
        clock);
  }
}
