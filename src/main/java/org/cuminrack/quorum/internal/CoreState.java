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
  final Map<Long, Long> requestIdsByIndex = new HashMap<>();
  List<Effect> effects = new ArrayList<>();
  Role role = Role.BLANK;
  long nowNanos;
  long term;
  ReplicaId votedFor;
  ReplicaId leader;
  SnapshotImage snapshot;
  long commitIndex;
  long appliedIndex;
  long syncedIndex;

  /** Whether the disk holds this replica's membership in the group. */
  boolean membershipSynced;

  /**
   * Incremented when entries are removed from the log's end or a snapshot replaces the log, so that
   * older sync events are ignored.
   */
  long logEpoch;

  /** The number of writes of term and vote requested so far; packets wait for these writes. */
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
    this.lastLeaderContactNanos = nowNanos - timing.electionTimeoutMaxNanos();
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
    syncedIndex = log.lastIndex();
    membershipSynced = true;
    electionDeadlineNanos = nowNanos + preVoteRetryNanos();
    effects.add(new Effect.Restore(snapshot));
  }

  /**
   * Returns the delay before the next pre-vote request. Voters that start at the same time may miss
   * one another's first requests, so the requests are repeated after one to two heartbeat
   * intervals. A voter that follows a leader denies the request, so repeating it is harmless.
   */
  long preVoteRetryNanos() {
    return timing.heartbeatNanos() + random.nextLong(timing.heartbeatNanos());
  }

  /** Replaces the log and the state machine's state with a snapshot. */
  void installSnapshot(SnapshotImage image) {
    if (role == Role.BLANK) {
      role = Role.FOLLOWER;
    }
    snapshot = image;
    log.reset(image);
    commitIndex = image.index();
    appliedIndex = image.index();
    syncedIndex = 0;
    logEpoch++;
    effects.add(new Effect.SaveSnapshot(logEpoch, image, true));
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
    long rangeNanos = timing.electionTimeoutMaxNanos() - timing.electionTimeoutMinNanos();
    electionDeadlineNanos =
        nowNanos + timing.electionTimeoutMinNanos() + random.nextLong(rangeNanos);
  }

  void recordLeaderContact(ReplicaId from) {
    leader = from;
    lastLeaderContactNanos = nowNanos;
    resetElectionDeadline();
  }

  boolean hasRecentLeaderContact() {
    return nowNanos - lastLeaderContactNanos < timing.electionTimeoutMinNanos();
  }

  /** Sends once all terms and votes saved so far are synced. */
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

  private void sendTo(String vmName, long incarnation, Message message, long afterVoteSequence) {
    Packet packet = new Packet(self, vmName, incarnation, groupId(), term, message);
    effects.add(new Effect.Send(packet, afterVoteSequence));
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
    effects.add(new Effect.AppendLog(logEpoch, entries));
  }

  private void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException(
          "cannot truncate from index "
              + index
              + ": entries up to "
              + commitIndex
              + " are committed");
    }
    log.truncateFrom(index);
    syncedIndex = Math.min(syncedIndex, index - 1);
    logEpoch++;
  }

  /** Commits the entries up to an index and requests their application. */
  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      Long requestId = requestIdsByIndex.remove(appliedIndex);
      effects.add(new Effect.Apply(log.get(appliedIndex), requestId == null ? 0 : requestId));
    }
  }

  void failProposals(String detail) {
    requestIdsByIndex
        .values()
        .forEach(
            requestId ->
                effects.add(
                    new Effect.Fail(requestId, new ProposalFailure.OutcomeUnknown(detail))));
    requestIdsByIndex.clear();
  }

  /**
   * Returns whether a log with this last index and term is at least as up to date as this replica's
   * log.
   */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    if (lastTerm != log.lastTerm()) {
      return lastTerm > log.lastTerm();
    }
    return lastIndex >= log.lastIndex();
  }
}
