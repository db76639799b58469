package org.cuminrack.quorum.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** The replicas of a simulated open group whose disks were lost. */
final class LostReplicas {
  /** The time after which a leader has noticed that a replica is silent. */
  private static final long RECENT_NANOS = 2 * SimulatedVm.TIMING.electionTimeoutMaxNanos();

  private final Invariants invariants;
  private final Map<ReplicaId, Long> lossNanos = new HashMap<>();
  private final Map<String, VoterSet> newestVoters = new TreeMap<>();

  LostReplicas(Invariants invariants) {
    this.invariants = invariants;
  }

  void add(ReplicaId replica, long nowNanos) {
    lossNanos.put(replica, nowNanos);
    newestVoters.remove(replica.vmName());
  }

  int count() {
    return lossNanos.size();
  }

  /** Records the newest voters, committed or not, in a replica's log. */
  void recordVoters(CoreView view) {
    if (view.voters() != null) {
      newestVoters.put(view.self().vmName(), view.voters());
    }
  }

  boolean noneIn(VoterSet voters) {
    return lossNanos.keySet().stream().noneMatch(voters::contains);
  }

  /** Returns the VMs of lost replicas that are voters, or that a leader may still make voters. */
  Set<String> vms(long nowNanos) {
    return lossNanos.keySet().stream()
        .filter(replica -> isVoter(replica) || nowNanos - lossNanos.get(replica) < RECENT_NANOS)
        .map(ReplicaId::vmName)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private boolean isVoter(ReplicaId replica) {
    return invariants.committedVoters().contains(replica)
        || newestVoters.values().stream().anyMatch(voters -> voters.contains(replica));
  }
}
