package org.cuminrack.control;

import java.util.Optional;
import org.cuminrack.quorum.ReplicatedLog;
import org.cuminrack.time.Clock;

/** What this VM holds while it leads, made anew for each term. Safe for use by many threads. */
final class Leadership {
  private final ReplicatedLog log;
  private final ControlState state;
  private final LeaseSettings settings;
  private final Clock clock;
  private Term current;

  Leadership(ReplicatedLog log, ControlState state, LeaseSettings settings, Clock clock) {
    this.log = log;
    this.state = state;
    this.settings = settings;
    this.clock = clock;
  }

  /** Returns the term that this VM leads in, if it believes that it leads. */
  synchronized Optional<Term> term() {
    long term = log.term();
    if (!log.leads()) {
      current = null;
      return Optional.empty();
    }
    if (current == null || current.number() != term) {
      LeaseTable leases = new LeaseTable(settings);
      current = new Term(term, leases, new StateTime(clock, state.timeMillis()));
    }
    return Optional.of(current);
  }

  /** One term of this VM's leadership. */
  record Term(long number, LeaseTable leases, StateTime time) {}
}
