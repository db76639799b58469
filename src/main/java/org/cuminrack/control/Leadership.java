package org.cuminrack.control;

import java.util.Optional;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;

/** The volatile state of this VM's leadership, created anew for each term. Thread-safe. */
final class Leadership {
  private final ReplicatedLog log;
  private final ControlState state;
  private final LeaseSettings settings;
  private final RenewalExchange renewals;
  private final Clock clock;
  private Term current;

  Leadership(
      ReplicatedLog log,
      ControlState state,
      LeaseSettings settings,
      RenewalExchange renewals,
      Clock clock) {
    this.log = log;
    this.state = state;
    this.settings = settings;
    this.renewals = renewals;
    this.clock = clock;
  }

  /** Returns the term in which this VM is leader, as far as it knows; empty for a follower. */
  synchronized Optional<Term> term() {
    long term = log.term();
    if (!log.isLeader()) {
      current = null;
      return Optional.empty();
    }
    if (current == null || current.number() != term) {
      LeaseTable leases = new LeaseTable(settings);
      current = new Term(term, leases, new LeaderClock(clock, state.timeMillis()));
      shortenLeases(term, leases);
    }
    return Optional.of(current);
  }

  /**
   * Shortens the leases of sessions that last renewed some time before this VM began to lead. Each
   * keeps the time for one renewal, so that an outage of control ends no session of an entry that
   * runs.
   */
  private void shortenLeases(long term, LeaseTable leases) {
    long electedNanos = clock.nanoTime();
    long earliestNanos =
        electedNanos
            + settings.renewInterval().plus(settings.driftMargin()).toNanos()
            - settings.expiryAtControl().toNanos();
    renewals
        .lastRenewalNanos(term)
        .thenAccept(
            known ->
                known.ifPresent(
                    lastRenewalNanos ->
                        leases.shorten(lastRenewalNanos, earliestNanos, electedNanos)));
  }

  /** The state of one term in which this VM is leader. */
  record Term(long number, LeaseTable leases, LeaderClock clock) {}
}
