package org.cuminrack.quorum.internal;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Manages replicas that are not voters on the leader: replicates the log to them and makes them
 * voters once they have synced all committed entries, in place of the lost voter of their own VM or
 * as {@link VoterPlan} decides. Voters are changed in one step after the other.
 */
final class Learners {
  private static final int LEARNER_SILENCE_ELECTION_TIMEOUTS = 4;

  /** Silence of a voter after which a replica of another VM may replace it. */
  private static final int LOST_VOTER_ELECTION_TIMEOUTS = 2;

  private final CoreState state;
  private final Leadership leadership;

  Learners(CoreState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
  }

  /** Starts replication to a replica that searches for the group; a blank one gets the snapshot. */
  void onHello(ReplicaId from, Message.Hello hello) {
    leadership.startReplication(from, state.log.lastIndex() + 1);
    Progress peer = leadership.progress().get(from);
    leadership.recordContact(peer, 0);
    peer.dataCentre = hello.dataCentre();
    if (hello.blank() && peer.snapshot == null) {
      peer.beginSnapshot(state.snapshot);
    }
  }

  /** Removes silent learners and starts a change of voters if one is due. */
  void onTick() {
    leadership.progress().entrySet().removeIf(this::isSilentLearner);
    if (!leadership.isEstablished() || !leadership.votersAreCommitted()) {
      return;
    }
    if (state.diskFull || state.log.voters().isJoint()) {
      return;
    }
    nextVoters().ifPresent(leadership::startVoterChange);
  }

  /** Returns the VMs of the learners that replied recently. */
  Set<String> vms() {
    return leadership.progress().keySet().stream()
        .filter(replica -> !state.log.voters().contains(replica))
        .filter(leadership::hasRecentContact)
        .map(ReplicaId::vmName)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private boolean isSilentLearner(Map.Entry<ReplicaId, Progress> entry) {
    long sinceContactNanos = state.nowNanos - entry.getValue().lastContactNanos;
    return !state.log.voters().contains(entry.getKey())
        && sinceContactNanos
            > LEARNER_SILENCE_ELECTION_TIMEOUTS * state.timing.electionTimeoutMaxNanos();
  }

  private Optional<VoterSet> nextVoters() {
    VoterSet voters = state.log.voters();
    Map<ReplicaId, String> newVms = new TreeMap<>(Comparator.comparing(ReplicaId::toString));
    for (Map.Entry<ReplicaId, Progress> entry : leadership.progress().entrySet()) {
      ReplicaId replica = entry.getKey();
      if (!isCaughtUp(entry)) {
        continue;
      }
      Long currentIncarnation = voters.incarnations().get(replica.vmName());
      if (currentIncarnation == null) {
        newVms.put(replica, entry.getValue().dataCentre);
      } else if (!leadership.hasRecentContact(
          new ReplicaId(replica.vmName(), currentIncarnation))) {
        return Optional.of(
            voters.replacing(replica.vmName(), replica, entry.getValue().dataCentre));
      }
    }
    if (newVms.isEmpty() || !state.membershipPolicy.openToNewVms()) {
      return Optional.empty();
    }
    Set<ReplicaId> lostVoters =
        voters.replicas().stream().filter(this::isLost).collect(Collectors.toSet());
    return new VoterPlan(state.membershipPolicy, state.self, voters, newVms).nextVoters(lostVoters);
  }

  private boolean isCaughtUp(Map.Entry<ReplicaId, Progress> entry) {
    ReplicaId replica = entry.getKey();
    return !state.log.voters().contains(replica)
        && leadership.hasRecentContact(replica)
        && entry.getValue().matchIndex >= state.commitIndex;
  }

  private boolean isLost(ReplicaId voter) {
    Progress peer = leadership.progress().get(voter);
    long lostNanos = LOST_VOTER_ELECTION_TIMEOUTS * state.timing.electionTimeoutMaxNanos();
    return !voter.equals(state.self)
        && peer != null
        && state.nowNanos - peer.lastContactNanos > lostNanos;
  }
}
