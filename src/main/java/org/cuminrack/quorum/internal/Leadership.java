package org.cuminrack.quorum.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.quorum.ProposalFailure;

/** A leader's work on the log: append, commit, confirm, and step down without a quorum. */
final class Leadership {
  private static final byte[] NOTHING = {};

  private final CoreState state;
  private final Map<ReplicaId, Progress> progress = new HashMap<>();
  private final PendingReads reads = new PendingReads();
  private long firstIndex;

  Leadership(CoreState state) {
    this.state = state;
  }

  Map<ReplicaId, Progress> progress() {
    return progress;
  }

  long readSequence() {
    return reads.sequence();
  }

  void begin() {
    state.role = Role.LEADER;
    state.leader = state.self;
    progress.clear();
    long next = state.log.lastIndex() + 1;
    for (ReplicaId voter : state.log.voters().replicas()) {
      track(voter, next);
    }
    firstIndex = next;
    append(EntryKind.NO_OPERATION, NOTHING);
  }

  /** Begins to send to a replica. */
  void track(ReplicaId replica, long nextIndex) {
    if (!replica.equals(state.self)) {
      progress.computeIfAbsent(replica, key -> new Progress(nextIndex, state.now));
    }
  }

  private long append(EntryKind kind, byte[] data) {
    long index = state.log.lastIndex() + 1;
    state.append(List.of(new LogEntry(index, state.term, kind, data)));
    return index;
  }

  void onPropose(Event.Propose proposal) {
    if (state.diskFull) {
      fail(proposal.requestId(), new ProposalFailure.ReadOnly(state.self.vmName() + ": disk full"));
      return;
    }
    long index = append(EntryKind.COMMAND, proposal.command());
    state.requestsByIndex.put(index, proposal.requestId());
  }

  void onConfirmLeadership(long requestId) {
    if (state.commitIndex < firstIndex) {
      reads.park(requestId);
    } else {
      reads.add(requestId, state.commitIndex);
    }
  }

  void onAppendReply(ReplicaId from, Message.AppendReply reply) {
    Progress peer = progress.get(from);
    if (peer == null) {
      return;
    }
    heard(peer, reply.readSequence());
    peer.diskFull = reply.readOnly();
    if (reply.accepted()) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex());
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
      peer.probing = false;
      advanceCommit();
    } else if (reply.previousIndex() >= peer.matchIndex) {
      long next = Math.min(reply.previousIndex(), reply.hintIndex() + 1);
      peer.nextIndex = Math.max(peer.matchIndex + 1, next);
      peer.probing = true;
      peer.mayProbe = true;
    }
  }

  /** Notes an answer of another replica. */
  void heard(Progress peer, long readSequence) {
    peer.contactNanos = state.now;
    peer.ackedReadSequence = Math.max(peer.ackedReadSequence, readSequence);
  }

  /** Commits what a quorum has synced, if it is of this term. */
  void advanceCommit() {
    long reached = state.log.voters().reachedByQuorum(this::syncedIndex);
    if (reached <= state.commitIndex || state.log.termAt(reached) != state.term) {
      return;
    }
    state.commitTo(reached);
    reads.unpark(state.commitIndex);
    completeReplacement();
  }

  private long syncedIndex(ReplicaId voter) {
    if (voter.equals(state.self)) {
      return state.durableIndex;
    }
    Progress peer = progress.get(voter);
    return peer == null ? 0 : peer.matchIndex;
  }

  private void completeReplacement() {
    VoterSet voters = state.log.voters();
    if (voters.isJoint() && votersAreSettled()) {
      append(EntryKind.VOTERS, voters.completed().encode());
    }
  }

  /** Begins to replace the voter of a VM by a replica. */
  void beginReplacement(String lostVm, ReplicaId replica) {
    append(EntryKind.VOTERS, state.log.voters().replacing(lostVm, replica).encode());
  }

  /** Tells whether the present voter set is committed. */
  boolean votersAreSettled() {
    return state.log.votersIndex() <= state.commitIndex;
  }

  void confirmReads() {
    long confirmed = state.log.voters().reachedByQuorum(this::ackedReadSequence);
    reads.confirmUpTo(confirmed, state.effects);
  }

  private long ackedReadSequence(ReplicaId voter) {
    if (voter.equals(state.self)) {
      return reads.sequence();
    }
    Progress peer = progress.get(voter);
    return peer == null ? 0 : peer.ackedReadSequence;
  }

  /** Tells whether a quorum was heard of lately. */
  boolean hasQuorum() {
    return state.log.voters().hasQuorum(this::isRecent);
  }

  /**
   * Tells whether a quorum without this replica has synced what this one has no room for. Where all
   * disks are full, nobody could commit the first entry of a new term, so this one goes on.
   */
  boolean othersHaveRoom() {
    return state.log.voters().hasQuorum(this::hasRoom);
  }

  private boolean hasRoom(ReplicaId voter) {
    Progress peer = progress.get(voter);
    return peer != null
        && isRecent(voter)
        && !peer.diskFull
        && peer.matchIndex > state.durableIndex;
  }

  /** Tells whether a replica answered lately. */
  boolean isRecent(ReplicaId voter) {
    if (voter.equals(state.self)) {
      return true;
    }
    Progress peer = progress.get(voter);
    return peer != null && state.now - peer.contactNanos < state.timing.electionMaxNanos();
  }

  /** Tells whether the leader has committed an entry of its term. */
  boolean isEstablished() {
    return state.role == Role.LEADER && state.commitIndex >= firstIndex;
  }

  /** Fails what waits for this leader. */
  void end() {
    String leader = state.leaderName();
    reads.drain().forEach(id -> fail(id, new ProposalFailure.NotLeader(leader)));
    state.failProposals("leadership lost in term " + state.term);
    progress.clear();
  }

  private void fail(long requestId, ProposalFailure failure) {
    state.effects.add(new Effect.Fail(requestId, failure));
  }
}
