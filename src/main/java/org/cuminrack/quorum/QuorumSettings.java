package org.cuminrack.quorum;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.quorum.internal.Timing;

/**
 * Settings of a replica.
 *
 * @param vmName this VM's name; one of the voters unless the group is open
 * @param voters the wire addresses of the VMs that form the group, by name; the same on all VMs
 * @param joinPort the wire port of VMs that join later, whose names are their IP addresses; 0 if
 *     the group is limited to the given voters
 * @param mayForm whether this replica may take part in forming a new group
 * @param dataFolder the folder that stores the log
 * @param heartbeat the interval between heartbeats of a leader
 * @param electionTimeoutMin the minimum time without contact from a leader before an election
 * @param electionTimeoutMax the maximum time without contact from a leader before an election
 * @param snapshotEveryEntries the number of applied entries between snapshots
 */
public record QuorumSettings(
    String vmName,
    Map<String, String> voters,
    int joinPort,
    boolean mayForm,
    Path dataFolder,
    Duration heartbeat,
    Duration electionTimeoutMin,
    Duration electionTimeoutMax,
    int snapshotEveryEntries) {

  public QuorumSettings {
    voters = Map.copyOf(voters);
    if (joinPort == 0 && !voters.containsKey(vmName)) {
      throw new IllegalArgumentException(
          "voters: expected " + vmName + " among them, found " + voters.keySet());
    }
    for (String name : voters.keySet()) {
      if (!name.matches("[A-Za-z0-9._-]+")) {
        throw new IllegalArgumentException(
            "voters: expected names of letters, digits, '.', '_' and '-', found " + name);
      }
    }
    if (snapshotEveryEntries < 1) {
      throw new IllegalArgumentException(
          "snapshotEveryEntries: expected at least 1, found " + snapshotEveryEntries);
    }
  }

  /** Creates the settings of a replica in a group whose VMs never change. */
  public QuorumSettings(
      String vmName,
      Map<String, String> voters,
      Path dataFolder,
      Duration heartbeat,
      Duration electionTimeoutMin,
      Duration electionTimeoutMax,
      int snapshotEveryEntries) {
    this(
        vmName,
        voters,
        0,
        true,
        dataFolder,
        heartbeat,
        electionTimeoutMin,
        electionTimeoutMax,
        snapshotEveryEntries);
  }

  /** Returns a VM's wire address, or empty if unknown. */
  Optional<String> addressOf(String vm) {
    String known = voters.get(vm);
    if (known != null || joinPort == 0) {
      return Optional.ofNullable(known);
    }
    return Optional.of(vm + ":" + joinPort);
  }

  /** Returns the intervals for the core; throws if they are inconsistent. */
  Timing timing() {
    return new Timing(
        heartbeat.toNanos(), electionTimeoutMin.toNanos(), electionTimeoutMax.toNanos());
  }
}
