package org.cuminrack.quorum.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A leader's work on replicas that don't vote: it catches them up, and lets each replace the lost
 * replica of its VM, one at a time, once it has synced all that is committed.
 */
final class Learners {
  private static final int SILENT_ELECTION_TIMEOUTS = 4;

  /** How long a voter is silent before a replica of another VM may take its place. */
  private static final int LOST_ELECTION_TIMEOUTS = 2;

  private final CoreState state;
  private final Leadership leadership;

  Learners(CoreState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
  }

  /** Takes in a replica that looks for the group, and sends the snapshot to a blank one. */
  void onHello(ReplicaId from, boolean blank) {
    leadership.track(from, state.log.lastIndex() + 1);
    Progress peer = leadership.progress().get(from);
    leadership.heard(peer, 0);
    if (blank && peer.snapshot == null) {
      peer.beginSnapshot(state.snapshot);
    }
  }

  /** Forgets silent replicas and begins a replacement that is due. */
  void onTick() {
    leadership.progress().entrySet().removeIf(this::isGone);
    if (!leadership.isEstablished() || !leadership.votersAreSettled()) {
      return;
    }
    if (state.diskFull || state.log.voters().isJoint()) {
      return;
    }
    List<ReplicaId> ready =
        leadership.progress().entrySet().stream()
            .filter(this::isCaughtUp)
            .map(Map.Entry::getKey)
            .sorted((a, b) -> a.toString().compareTo(b.toString()))
            .toList();
    for (ReplicaId replica : ready) {
      Optional<String> lost = lostVoter(replica);
      if (lost.isPresent()) {
        leadership.beginReplacement(lost.get(), replica);
        return;
      }
    }
  }

  private boolean isGone(Map.Entry<ReplicaId, Progress> entry) {
    long silentNanos = state.now - entry.getValue().contactNanos;
    return !state.log.voters().contains(entry.getKey())
        && silentNanos > SILENT_ELECTION_TIMEOUTS * state.timing.electionMaxNanos();
  }

  private boolean isCaughtUp(Map.Entry<ReplicaId, Progress> entry) {
    ReplicaId replica = entry.getKey();
    return !state.log.voters().contains(replica)
        && leadership.isRecent(replica)
        && entry.getValue().matchIndex >= state.commitIndex;
  }

  /**
   * Returns the VM whose voter a replica may replace: its own, or in an open group any lost one.
   */
  private Optional<String> lostVoter(ReplicaId replica) {
    Map<String, Long> voters = state.log.voters().incarnations();
    Long former = voters.get(replica.vmName());
    if (former != null) {
      boolean silent = !leadership.isRecent(new ReplicaId(replica.vmName(), former));
      return silent ? Optional.of(replica.vmName()) : Optional.empty();
    }
    if (!state.admission.open()) {
      return Optional.empty();
    }
    return voters.entrySet().stream()
        .filter(voter -> isLost(new ReplicaId(voter.getKey(), voter.getValue())))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private boolean isLost(ReplicaId voter) {
    Progress peer = leadership.progress().get(voter);
    long lostNanos = LOST_ELECTION_TIMEOUTS * state.timing.electionMaxNanos();
    return !voter.equals(state.self) && peer != null && state.now - peer.contactNanos > lostNanos;
  }
}
