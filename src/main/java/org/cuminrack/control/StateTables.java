package org.cuminrack.control;

import org.cuminrack.generated.control.SnapshotData;
import org.cuminrack.ledger.LedgerLimits;
import org.cuminrack.ledger.LedgerState;

/** The tables of the replicated state. Not thread-safe. */
final class StateTables {
  final ConfigState config = new ConfigState();
  final ChangeVerdicts verdicts = new ChangeVerdicts();
  final SessionState sessions = new SessionState();
  final SuspectState suspects = new SuspectState();
  final RoutingState routing = new RoutingState();
  final DepartureState departures = new DepartureState();
  final LedgerState ledger;

  StateTables(LedgerLimits limits) {
    ledger = new LedgerState(limits);
  }

  /** Adds every table to a snapshot. */
  void save(SnapshotData.Builder snapshot) {
    config.objects().forEach(object -> snapshot.addObjects(ConfigCodec.toData(object)));
    snapshot.addAllSessions(sessions.all());
    snapshot.addAllVerdicts(verdicts.all());
    snapshot.addAllSuspicions(suspects.all());
    snapshot.addAllCalls(ledger.allCalls());
    snapshot.setRouting(routing.data());
    snapshot.addAllDepartures(departures.all());
  }

  /** Restores every table from a snapshot. */
  void restore(SnapshotData snapshot) {
    config.restore(snapshot.getObjectsList());
    sessions.restore(snapshot.getSessionsList());
    verdicts.restore(snapshot.getVerdictsList());
    suspects.restore(snapshot.getSuspicionsList());
    ledger.restore(snapshot.getCallsList());
    routing.restore(snapshot.getRouting());
    departures.restore(snapshot.getDeparturesList());
  }
}
