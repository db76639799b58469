package org.cuminrack.quorum;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.cuminrack.quorum.internal.Timing;

/**
 * Settings of a replica.
 *
 * @param vmName this VM's name, one of the voters'
 * @param voters the VMs that form the group: name to wire address, the same on all of them
 * @param openPort the wire port of VMs that join later, whose names are their IP numbers; 0 where
 *     only the voters named here take part
 * @param mayForm whether this replica may take part in forming a new group
 * @param dataFolder where the replica keeps its log
 * @param heartbeat how often a leader speaks to an idle follower
 * @param electionTimeoutMin the least silence of a leader before another one is sought
 * @param electionTimeoutMax the most
 * @param snapshotEveryEntries how many entries are applied from one snapshot to the next
 */
public record QuorumSettings(
    String vmName,
    Map<String, String> voters,
    int openPort,
    boolean mayForm,
    Path dataFolder,
    Duration heartbeat,
    Duration electionTimeoutMin,
    Duration electionTimeoutMax,
    int snapshotEveryEntries) {

  public QuorumSettings {
    voters = Map.copyOf(voters);
    if (openPort == 0 && !voters.containsKey(vmName)) {
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

  /** Returns settings of a replica in a group whose VMs never change. */
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

  /** Returns a VM's wire address, empty where none is known. */
  Optional<String> addressOf(String vm) {
    String known = voters.get(vm);
    if (known != null || openPort == 0) {
      return Optional.ofNullable(known);
    }
    return Optional.of(vm + ":" + openPort);
  }

  /** Returns the intervals as the core takes them; throws if they don't fit each other. */
  Timing timing() {
    return new Timing(
        heartbeat.toNanos(), electionTimeoutMin.toNanos(), electionTimeoutMax.toNanos());
  }
}
