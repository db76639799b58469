package org.cuminrack.quorum.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Manages replicas that are not voters on the leader: replicates the log to them and lets each one
 * replace the lost voter of its VM once it has synced all committed entries. One voter is replaced
 * at a time.
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
  void onHello(ReplicaId from, boolean blank) {
    leadership.startReplication(from, state.log.lastIndex() + 1);
    Progress peer = leadership.progress().get(from);
    leadership.recordContact(peer, 0);
    if (blank && peer.snapshot == null) {
      peer.beginSnapshot(state.snapshot);
    }
  }

  /** Removes silent learners and starts a replacement if one is due. */
  void onTick() {
    leadership.progress().entrySet().removeIf(this::isSilentLearner);
    if (!leadership.isEstablished() || !leadership.votersAreCommitted()) {
      return;
    }
    if (state.diskFull || state.log.voters().isJoint()) {
      return;
    }
    List<ReplicaId> caughtUp =
        leadership.progress().entrySet().stream()
            .filter(this::isCaughtUp)
            .map(Map.Entry::getKey)
            .sorted((a, b) -> a.toString().compareTo(b.toString()))
            .toList();
    for (ReplicaId replica : caughtUp) {
      Optional<String> lost = replaceableVm(replica);
      if (lost.isPresent()) {
        leadership.startReplacement(lost.get(), replica);
        return;
      }
    }
  }

  private boolean isSilentLearner(Map.Entry<ReplicaId, Progress> entry) {
    long sinceContactNanos = state.nowNanos - entry.getValue().lastContactNanos;
    return !state.log.voters().contains(entry.getKey())
        && sinceContactNanos
            > LEARNER_SILENCE_ELECTION_TIMEOUTS * state.timing.electionTimeoutMaxNanos();
  }

  private boolean isCaughtUp(Map.Entry<ReplicaId, Progress> entry) {
    ReplicaId replica = entry.getKey();
    return !state.log.voters().contains(replica)
        && leadership.hasRecentContact(replica)
        && entry.getValue().matchIndex >= state.commitIndex;
  }

  /**
   * Returns the VM whose voter a replica may replace: its own VM or, in an open group, any VM whose
   * voter is lost.
   */
  private Optional<String> replaceableVm(ReplicaId replica) {
    Map<String, Long> voters = state.log.voters().incarnations();
    Long currentIncarnation = voters.get(replica.vmName());
    if (currentIncarnation != null) {
      boolean silent =
          !leadership.hasRecentContact(new ReplicaId(replica.vmName(), currentIncarnation));
      return silent ? Optional.of(replica.vmName()) : Optional.empty();
    }
    if (!state.membershipPolicy.openToNewVms()) {
      return Optional.empty();
    }
    return voters.entrySet().stream()
        .filter(voter -> isLost(new ReplicaId(voter.getKey(), voter.getValue())))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private boolean isLost(ReplicaId voter) {
    Progress peer = leadership.progress().get(voter);
    long lostNanos = LOST_VOTER_ELECTION_TIMEOUTS * state.timing.electionTimeoutMaxNanos();
    return !voter.equals(state.self)
        && peer != null
        && state.nowNanos - peer.lastContactNanos > lostNanos;
  }
}
