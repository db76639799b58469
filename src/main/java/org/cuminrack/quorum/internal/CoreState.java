package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminrack.quorum.ProposalFailure;

/** What every part of the core works on, and the effects that it has asked for so far. */
final class CoreState {
  final ReplicaId self;
  final Admission admission;
  final Timing timing;
  final RandomGenerator random;
  final MemoryLog log = new MemoryLog();
  final Map<Long, Long> requestsByIndex = new HashMap<>();
  List<Effect> effects = new ArrayList<>();
  Role role = Role.BLANK;
  long now;
  long term;
  ReplicaId votedFor;
  ReplicaId leader;
  SnapshotImage snapshot;
  long commitIndex;
  long appliedIndex;
  long durableIndex;
  long epoch;
  long voteSequence;
  long voteSynced;
  boolean diskFull;
  long leaderContactNanos;
  long electionDeadline;

  CoreState(
      Recovered recovered, Admission admission, Timing timing, RandomGenerator random, long now) {
    this.self = recovered.self();
    this.admission = admission;
    this.timing = timing;
    this.random = random;
    this.now = now;
    this.term = recovered.term();
    this.votedFor = recovered.votedFor();
    this.leaderContactNanos = now - timing.electionMaxNanos();
    resetElectionDeadline();
    if (recovered.snapshot() != null) {
      recover(recovered);
    }
  }

  private void recover(Recovered recovered) {
    role = Role.FOLLOWER;
    snapshot = recovered.snapshot();
    log.reset(snapshot);
    recovered.entries().forEach(log::append);
    commitIndex = snapshot.index();
    appliedIndex = snapshot.index();
    durableIndex = log.lastIndex();
    electionDeadline = now + oneToTwoHeartbeats();
    effects.add(new Effect.Restore(snapshot));
  }

  /**
   * Returns how long a question to voters waits. They may all have started together and miss each
   * other's first questions; where one of them follows a leader, it says no and nothing changes.
   */
  long oneToTwoHeartbeats() {
    return timing.heartbeatNanos() + random.nextLong(timing.heartbeatNanos());
  }

  /** Begins with a snapshot instead of all that was here before. */
  void begin(SnapshotImage image) {
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
    electionDeadline = now + timing.electionMinNanos() + random.nextLong(spread);
  }

  void heardFromLeader(ReplicaId from) {
    leader = from;
    leaderContactNanos = now;
    resetElectionDeadline();
  }

  boolean leaderIsRecent() {
    return now - leaderContactNanos < timing.electionMinNanos();
  }

  /** Sends once every vote and term so far is synced. */
  void send(ReplicaId to, Message message) {
    sendTo(to.vmName(), to.incarnation(), message, voteSequence);
  }

  /** Sends without waiting for the disk. */
  void sendAtOnce(ReplicaId to, Message message) {
    sendTo(to.vmName(), to.incarnation(), message, 0);
  }

  void sendToVm(String vmName, Message message) {
    sendTo(vmName, Packet.ANY, message, voteSequence);
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

  /** Moves to the next term and votes for this replica in it. */
  void beginOwnTerm() {
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
      cutFrom(first);
    }
    entries.forEach(log::append);
    effects.add(new Effect.AppendLog(epoch, entries));
  }

  private void cutFrom(long index) {
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

  /** Tells whether a log that ends so is at least as new as the one here. */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    if (lastTerm != log.lastTerm()) {
      return lastTerm > log.lastTerm();
    }
    return lastIndex >= log.lastIndex();
  }
}
