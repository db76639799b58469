package org.cuminrack.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminrack.quorum.LossTolerance;

/**
 * The control VMs that have stored one announcement. They are enough once a copy survives the
 * tolerated losses, as far as there are so many voters and data centres. Thread-safe.
 */
final class AnnouncementCopies {
  private final ControlVms controlVms;
  private final LossTolerance required;
  private final List<String> dataCentres = new ArrayList<>();

  /** Creates the copies of an announcement that only this VM has. */
  AnnouncementCopies(ControlVms controlVms, LossTolerance tolerance) {
    this.controlVms = controlVms;
    this.required = limit(tolerance, controlVms);
    dataCentres.add(controlVms.ownDataCentre());
  }

  private static LossTolerance limit(LossTolerance tolerance, ControlVms controlVms) {
    Set<String> voterDataCentres = new HashSet<>();
    controlVms.otherVoters().forEach(voter -> voterDataCentres.add(dataCentre(controlVms, voter)));
    voterDataCentres.remove(controlVms.ownDataCentre());
    // Announcements are kept in memory: even if no disk may be lost, this process may end.
    int vmLosses = Math.max(1, tolerance.vmLosses());
    return new LossTolerance(
        Math.min(vmLosses, controlVms.otherVoters().size()),
        Math.min(tolerance.dataCentreLosses(), voterDataCentres.size()));
  }

  /**
   * Returns a voter's data centre. An unknown one counts as this VM's, so that it is not taken for
   * another one.
   */
  private static String dataCentre(ControlVms controlVms, String voter) {
    String dataCentre = controlVms.dataCentreByVoter().getOrDefault(voter, "");
    return dataCentre.isEmpty() ? controlVms.ownDataCentre() : dataCentre;
  }

  /** Adds a voter that has stored the announcement. */
  synchronized void add(String voter) {
    dataCentres.add(dataCentre(controlVms, voter));
  }

  /** Returns whether the announcement may be acknowledged. */
  synchronized boolean areEnough() {
    return required.someCopySurvives(dataCentres);
  }
}
