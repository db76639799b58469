package org.cuminrack.quorum.internal;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminrack.quorum.ProposalFailure;

/**
 * The leader's part of the protocol: appends and commits entries, confirms reads, replaces voters,
 * and tracks the replies of the other replicas.
 */
final class Leadership {
  private static final byte[] NO_DATA = {};

  /** How long the first command waits for enough voters, in maximum election timeouts. */
  private static final int VOTER_WAIT_ELECTION_TIMEOUTS = 8;

  private final CoreState state;
  private final Map<ReplicaId, Progress> progress = new HashMap<>();
  private final PendingReads reads = new PendingReads();
  private long firstIndexOfTerm;
  private long beganNanos;

  /**
   * The index of the entry that was appended when this replica's disk last filled up in this term;
   * 0 if it has not.
   */
  private long probeIndex;

  Leadership(CoreState state) {
    this.state = state;
  }

  Map<ReplicaId, Progress> progress() {
    return progress;
  }

  /** Returns the number of the newest read; a reply that repeats it confirms all reads so far. */
  long readSequence() {
    return reads.sequence();
  }

  /** Makes this replica the leader and appends the first entry of its term. */
  void begin() {
    state.role = Role.LEADER;
    state.leader = state.self;
    progress.clear();
    long next = state.log.lastIndex() + 1;
    for (ReplicaId voter : state.log.voters().replicas()) {
      startReplication(voter, next);
      if (!voter.equals(state.self)) {
        progress.get(voter).dataCentre = state.log.voters().dataCentreOf(voter.vmName());
      }
    }
    firstIndexOfTerm = next;
    beganNanos = state.nowNanos;
    probeIndex = state.diskFull ? next : 0;
    append(EntryKind.NO_OPERATION, NO_DATA);
  }

  /** Starts replication to a replica, unless it has started already. */
  void startReplication(ReplicaId replica, long nextIndex) {
    if (!replica.equals(state.self)) {
      progress.computeIfAbsent(replica, key -> new Progress(nextIndex, state.nowNanos));
    }
  }

  /**
   * Appends an entry that shows, by the replies to it, which other replicas still have room: what
   * they synced before says nothing, since all disks may have filled up at the same time.
   */
  void onDiskFull() {
    probeIndex = append(EntryKind.NO_OPERATION, NO_DATA);
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
    if (awaitsVoters()) {
      fail(proposal.requestId(), new ProposalFailure.TooFewVoters(describeMissingVoters()));
      return;
    }
    long index = append(EntryKind.COMMAND, proposal.command());
    state.requestIdsByIndex.put(index, proposal.requestId());
  }

  /**
   * Returns whether the group forms and has fewer voters than the losses that it has to tolerate
   * need. A command that fewer have committed could be lost with the disks of as many VMs as may be
   * lost. The wait is limited, so that a group works with the VMs that there are.
   */
  private boolean awaitsVoters() {
    long waitNanos = VOTER_WAIT_ELECTION_TIMEOUTS * state.timing.electionTimeoutMaxNanos();
    boolean satisfied =
        votersAreCommitted() && state.membershipPolicy.isSatisfiedBy(state.log.voters());
    return !state.log.hasCommands() && !satisfied && state.nowNanos - beganNanos < waitNanos;
  }

  private String describeMissingVoters() {
    return "expected "
        + state.membershipPolicy.tolerance().voterCount()
        + " committed voters that are spread over data centres, found "
        + new String(state.log.voters().encode(), StandardCharsets.UTF_8);
  }

  /** Adds a read; it is deferred until an entry of this leader's term is committed. */
  void onConfirmLeadership(long requestId) {
    if (state.commitIndex < firstIndexOfTerm) {
      reads.defer(requestId);
    } else {
      reads.add(requestId, state.commitIndex);
    }
  }

  void onAppendReply(ReplicaId from, Message.AppendReply reply) {
    Progress peer = progress.get(from);
    if (peer == null) {
      return;
    }
    recordContact(peer, reply.readSequence());
    peer.diskFull = reply.diskFull();
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

  /** Records a reply from another replica. */
  void recordContact(Progress peer, long readSequence) {
    peer.lastContactNanos = state.nowNanos;
    peer.acknowledgedReadSequence = Math.max(peer.acknowledgedReadSequence, readSequence);
  }

  /**
   * Commits the entries that a quorum has synced, if the last of them is of the current term. If
   * the commit index advances, adds the deferred reads and completes a change of voters whose joint
   * set is committed.
   */
  void advanceCommit() {
    long quorumIndex = state.log.voters().valueReachedByQuorum(this::syncedIndex);
    if (quorumIndex <= state.commitIndex || state.log.termAt(quorumIndex) != state.term) {
      return;
    }
    state.commitTo(quorumIndex);
    reads.addDeferred(state.commitIndex);
    completeVoterChange();
  }

  private long syncedIndex(ReplicaId voter) {
    if (voter.equals(state.self)) {
      return state.syncedIndex;
    }
    Progress peer = progress.get(voter);
    return peer == null ? 0 : peer.matchIndex;
  }

  private void completeVoterChange() {
    VoterSet voters = state.log.voters();
    if (voters.isJoint() && votersAreCommitted()) {
      append(EntryKind.VOTERS, voters.completed().encode());
    }
  }

  /** Starts to change the voters, through a joint voter set. */
  void startVoterChange(VoterSet joint) {
    append(EntryKind.VOTERS, joint.encode());
  }

  /** Returns whether the current voter set is committed. */
  boolean votersAreCommitted() {
    return state.log.votersIndex() <= state.commitIndex;
  }

  void confirmReads() {
    long confirmed = state.log.voters().valueReachedByQuorum(this::acknowledgedReadSequence);
    reads.confirmUpTo(confirmed, state.effects);
  }

  private long acknowledgedReadSequence(ReplicaId voter) {
    if (voter.equals(state.self)) {
      return reads.sequence();
    }
    Progress peer = progress.get(voter);
    return peer == null ? 0 : peer.acknowledgedReadSequence;
  }

  /** Returns whether a quorum replied within the maximum election timeout. */
  boolean hasQuorum() {
    return state.log.voters().hasQuorum(this::hasRecentContact);
  }

  /**
   * Returns whether a quorum of other voters replied recently and has synced an entry that was
   * appended after this replica's disk filled up; this replica then gives up leadership. If all
   * disks are full, no other leader could commit the first entry of its term, so this replica keeps
   * leading.
   */
  boolean otherVotersCanLead() {
    return state.log.voters().hasQuorum(this::canLead);
  }

  private boolean canLead(ReplicaId voter) {
    Progress peer = progress.get(voter);
    return peer != null
        && hasRecentContact(voter)
        && !peer.diskFull
        && probeIndex > 0
        && peer.matchIndex >= probeIndex;
  }

  /** Returns whether a replica replied within the maximum election timeout. */
  boolean hasRecentContact(ReplicaId voter) {
    if (voter.equals(state.self)) {
      return true;
    }
    Progress peer = progress.get(voter);
    return peer != null
        && state.nowNanos - peer.lastContactNanos < state.timing.electionTimeoutMaxNanos();
  }

  /** Returns whether this replica leads and has committed an entry of its term. */
  boolean isEstablished() {
    return state.role == Role.LEADER && state.commitIndex >= firstIndexOfTerm;
  }

  /**
   * Ends the leadership: pending reads fail, and the outcome of pending proposals becomes unknown.
   */
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
