package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminrack.quorum.ProposalFailure;

/** State shared by all parts of the core, and the effects requested in the current step. */
final class CoreState {
  final ReplicaId self;
  final MembershipPolicy membershipPolicy;
  final Timing timing;
  final RandomGenerator random;
  final MemoryLog log = new MemoryLog();
  final Map<Long, Long> requestsByIndex = new HashMap<>();
  List<Effect> effects = new ArrayList<>();
  Role role = Role.BLANK;
  long nowNanos;
  long term;
  ReplicaId votedFor;
  ReplicaId leader;
  SnapshotImage snapshot;
  long commitIndex;
  long appliedIndex;
  long durableIndex;
  long epoch;
  long voteSequence;
  long syncedVoteSequence;
  boolean diskFull;
  long lastLeaderContactNanos;
  long electionDeadlineNanos;

  CoreState(
      RecoveredState recovered,
      MembershipPolicy membershipPolicy,
      Timing timing,
      RandomGenerator random,
      long nowNanos) {
    this.self = recovered.self();
    this.membershipPolicy = membershipPolicy;
    this.timing = timing;
    this.random = random;
    this.nowNanos = nowNanos;
    this.term = recovered.term();
    this.votedFor = recovered.votedFor();
    this.lastLeaderContactNanos = nowNanos - timing.electionMaxNanos();
    resetElectionDeadline();
    if (recovered.snapshot() != null) {
      recover(recovered);
    }
  }

  private void recover(RecoveredState recovered) {
    role = Role.FOLLOWER;
    snapshot = recovered.snapshot();
    log.reset(snapshot);
    recovered.entries().forEach(log::append);
    commitIndex = snapshot.index();
    appliedIndex = snapshot.index();
    durableIndex = log.lastIndex();
    electionDeadlineNanos = nowNanos + preVoteRetryNanos();
    effects.add(new Effect.Restore(snapshot));
  }

  /**
   * Returns the delay before the next pre-vote request. Voters that start at the same time may miss
   * each other's first requests, so they are repeated after one to two heartbeats. A voter that
   * follows a leader denies the request, so repeating it disturbs nothing.
   */
  long preVoteRetryNanos() {
    return timing.heartbeatNanos() + random.nextLong(timing.heartbeatNanos());
  }

  /** Replaces the log and the state machine's state by a snapshot. */
  void installSnapshot(SnapshotImage image) {
    if (role == Role.BLANK) {
      role = Role.FOLLOWER;
    }
    snapshot = image;
    log.reset(image);
    commitIndex = image.index();
    appliedIndex = image.index();
    durableIndex = 0;
    epoch++;
    effects.add(new Effect.SaveSnapshot(epoch, image, true));
    effects.add(new Effect.Restore(image));
  }

  boolean isBlank() {
    return snapshot == null;
  }

  boolean isVoter() {
    return !isBlank() && log.voters().contains(self);
  }

  long groupId() {
    return isBlank() ? 0 : snapshot.groupId();
  }

  String leaderName() {
    return leader == null ? "" : leader.vmName();
  }

  void resetElectionDeadline() {
    long spread = timing.electionMaxNanos() - timing.electionMinNanos();
    electionDeadlineNanos = nowNanos + timing.electionMinNanos() + random.nextLong(spread);
  }

  void recordLeaderContact(ReplicaId from) {
    leader = from;
    lastLeaderContactNanos = nowNanos;
    resetElectionDeadline();
  }

  boolean hasRecentLeaderContact() {
    return nowNanos - lastLeaderContactNanos < timing.electionMinNanos();
  }

  /** Sends after every term and vote up to now is synced. */
  void send(ReplicaId to, Message message) {
    sendTo(to.vmName(), to.incarnation(), message, voteSequence);
  }

  /** Sends without waiting for the disk. */
  void sendImmediately(ReplicaId to, Message message) {
    sendTo(to.vmName(), to.incarnation(), message, 0);
  }

  void sendToVm(String vmName, Message message) {
    sendTo(vmName, Packet.ANY_INCARNATION, message, voteSequence);
  }

  private void sendTo(String vmName, long incarnation, Message message, long afterSequence) {
    Packet packet = new Packet(self, vmName, incarnation, groupId(), term, message);
    effects.add(new Effect.Send(packet, afterSequence));
  }

  void adoptTerm(long newTerm) {
    term = newTerm;
    votedFor = null;
    leader = null;
    saveVote();
  }

  /** Starts the next term and votes for this replica in it. */
  void startElectionTerm() {
    term++;
    leader = null;
    voteFor(self);
  }

  void voteFor(ReplicaId candidate) {
    votedFor = candidate;
    saveVote();
  }

  void saveVote() {
    voteSequence++;
    effects.add(new Effect.SaveVote(voteSequence, term, votedFor));
  }

  void append(List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return;
    }
    long first = entries.get(0).index();
    if (first <= log.lastIndex()) {
      truncateFrom(first);
    }
    entries.forEach(log::append);
    effects.add(new Effect.AppendLog(epoch, entries));
  }

  private void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException(
          "truncation: expected after commit " + commitIndex + ", found " + index);
    }
    log.truncateFrom(index);
    durableIndex = Math.min(durableIndex, index - 1);
    epoch++;
  }

  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      Long request = requestsByIndex.remove(appliedIndex);
      effects.add(new Effect.Apply(log.get(appliedIndex), request == null ? 0 : request));
    }
  }

  void failProposals(String detail) {
    requestsByIndex
        .values()
        .forEach(
            request ->
                effects.add(new Effect.Fail(request, new ProposalFailure.OutcomeUnknown(detail))));
    requestsByIndex.clear();
  }

  /**
   * Returns whether a log with this last index and term is at least as up to date as the own log.
   */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    if (lastTerm != log.lastTerm()) {
      return lastTerm > log.lastTerm();
    }
    return lastIndex >= log.lastIndex();
  }
}
