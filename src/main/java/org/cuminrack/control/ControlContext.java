package org.cuminrack.control;

import java.time.Duration;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;

/** The components shared by the handlers of the control service. */
record ControlContext(
    ReplicatedLog log,
    ControlState state,
    Leadership leadership,
    Proposer proposer,
    LeadershipConfirmer confirmer,
    PendingReads pendingReads,
    RenewalBatcher renewals,
    Clock clock) {
  /** Timeout of a leadership confirmation. */
  private static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(1);

  static ControlContext of(
      ReplicatedLog log,
      ControlState state,
      LeaseSettings settings,
      RenewalExchange renewals,
      Clock clock) {
    Leadership leadership = new Leadership(log, state, settings, renewals, clock);
    return new ControlContext(
        log,
        state,
        leadership,
        new Proposer(log, leadership),
        new LeadershipConfirmer(log, CONFIRM_TIMEOUT),
        new PendingReads(clock),
        new RenewalBatcher(renewals, clock),
        clock);
  }
}
