package org.cuminrack.relay;

import org.cuminrack.admission.Admission;
import org.cuminrack.ledger.Ledger;
import org.cuminrack.member.CrashReports;
import org.cuminrack.member.Membership;
import org.cuminrack.time.Clock;

/** The objects shared by all exchanges of one entry. */
record RelayContext(
    Membership membership,
    Admission admission,
    Ledger ledger,
    CrashReports crashReports,
    RelaySettings settings,
    Clock clock,
    RelayCounters.Table counters,
    EventIds eventIds,
    RunningRequests runningRequests,
    InFlight inFlight,
    Problems problems,
    RequestIds requestIds) {

  RelayBounds bounds() {
    return settings.bounds();
  }
}
