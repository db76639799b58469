package org.cuminrack.quorum;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.quorum.internal.MembershipPolicy;
import org.cuminrack.quorum.internal.Timing;

/**
 * Settings of a replica.
 *
 * @param vmName this VM's name; one of the founders if {@code joinPort} is 0
 * @param dataCentre this VM's data centre; empty if unknown
 * @param founders the wire addresses of the VMs that form the group, by name; the same on all VMs;
 *     set by {@code voters} or {@code control_seeds}
 * @param joinPort the wire port of VMs that join later, whose names are their IP addresses; 0 if
 *     only founders may be members of the group
 * @param mayFormGroup whether this replica may take part in forming a new group
 * @param tolerance the losses that the group has to tolerate; a group of fixed VMs tolerates the
 *     loss of a minority
 * @param dataFolder the folder that stores the log
 * @param heartbeat the interval between heartbeats of a leader
 * @param electionTimeoutMin the minimum time without contact from a leader before an election
 * @param electionTimeoutMax the maximum time without contact from a leader before an election
 * @param snapshotIntervalEntries the number of applied entries between snapshots
 */
public record QuorumSettings(
    String vmName,
    String dataCentre,
    Map<String, String> founders,
    int joinPort,
    boolean mayFormGroup,
    LossTolerance tolerance,
    Path dataFolder,
    Duration heartbeat,
    Duration electionTimeoutMin,
    Duration electionTimeoutMax,
    int snapshotIntervalEntries) {

  public QuorumSettings {
    founders = Map.copyOf(founders);
    if (founders.isEmpty()) {
      throw new IllegalArgumentException("founders: expected one or more VMs, found none");
    }
    if (joinPort == 0 && !founders.containsKey(vmName)) {
      throw new IllegalArgumentException(
          "voters: expected this VM, " + vmName + ", found " + founders.keySet());
    }
    for (String name : founders.keySet()) {
      if (!name.matches("[A-Za-z0-9._-]+")) {
        throw new IllegalArgumentException(
            "voters: expected names of letters, digits, '.', '_' and '-', found " + name);
      }
    }
    if (joinPort == 0 && tolerance.voterCount() > founders.size()) {
      throw new IllegalArgumentException(
          "tolerance: expected at most "
              + founders.size()
              + " voters needed, found "
              + tolerance.voterCount());
    }
    if (snapshotIntervalEntries < 1) {
      throw new IllegalArgumentException(
          "snapshotIntervalEntries: expected at least 1, found " + snapshotIntervalEntries);
    }
  }

  /** Creates the settings of a replica in a group whose VMs never change. */
  public QuorumSettings(
      String vmName,
      Map<String, String> founders,
      Path dataFolder,
      Duration heartbeat,
      Duration electionTimeoutMin,
      Duration electionTimeoutMax,
      int snapshotIntervalEntries) {
    this(
        vmName,
        "",
        founders,
        0,
        true,
        LossTolerance.ofMinority(founders.size()),
        dataFolder,
        heartbeat,
        electionTimeoutMin,
        electionTimeoutMax,
        snapshotIntervalEntries);
  }

  /** Returns a VM's wire address, or empty if unknown. */
  Optional<String> addressOf(String vm) {
    String founderAddress = founders.get(vm);
    if (founderAddress != null || joinPort == 0) {
      return Optional.ofNullable(founderAddress);
    }
    return Optional.of(vm + ":" + joinPort);
  }

  MembershipPolicy membershipPolicy() {
    return new MembershipPolicy(
        founders.keySet(), joinPort != 0, mayFormGroup, tolerance, dataCentre);
  }

  /**
   * Returns the protocol's heartbeat interval and election timeouts.
   *
   * @throws IllegalArgumentException unless 0 &lt; heartbeat &lt; minimum &lt; maximum timeout
   */
  Timing timing() {
    return new Timing(
        heartbeat.toNanos(), electionTimeoutMin.toNanos(), electionTimeoutMax.toNanos());
  }
}
