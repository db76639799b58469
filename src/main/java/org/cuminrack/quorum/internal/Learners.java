package org.cuminrack.quorum.internal;

import java.util.Map;

/**
 * A leader's work on replicas that don't vote: it catches them up, and lets each replace the lost
 * replica of its VM, one at a time, once it has synced all that is committed.
 */
final class Learners {
  private static final int SILENT_ELECTION_TIMEOUTS = 4;

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
    leadership.progress().entrySet().stream()
        .filter(this::mayReplace)
        .map(Map.Entry::getKey)
        .sorted((a, b) -> a.toString().compareTo(b.toString()))
        .findFirst()
        .ifPresent(leadership::beginReplacement);
  }

  private boolean isGone(Map.Entry<ReplicaId, Progress> entry) {
    long silentNanos = state.now - entry.getValue().contactNanos;
    return !state.log.voters().contains(entry.getKey())
        && silentNanos > SILENT_ELECTION_TIMEOUTS * state.timing.electionMaxNanos();
  }

  private boolean mayReplace(Map.Entry<ReplicaId, Progress> entry) {
    ReplicaId replica = entry.getKey();
    if (state.log.voters().contains(replica) || !leadership.isRecent(replica)) {
      return false;
    }
    Long lost = state.log.voters().incarnations().get(replica.vmName());
    if (lost == null) {
      return false;
    }
    boolean lostIsSilent = !leadership.isRecent(new ReplicaId(replica.vmName(), lost));
    return lostIsSilent && entry.getValue().matchIndex >= state.commitIndex;
  }
}
