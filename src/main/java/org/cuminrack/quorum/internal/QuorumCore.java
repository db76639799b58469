package org.cuminrack.quorum.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cuminrack.quorum.ProposalFailure;

/**
 * The consensus protocol of the replicated log as a state machine without I/O: takes events and the
 * time, and returns effects. Not thread-safe.
 */
public final class QuorumCore {
  /** Entries retained before a snapshot, so that slightly lagging replicas need no snapshot. */
  private static final int RETAINED_ENTRIES = 512;

  private final CoreState state;
  private final Elections elections;
  private final Leadership leadership;
  private final Learners learners;
  private final Replication replication;
  private final Follower follower;
  private final GroupFormation formation;

  /**
   * Creates a core from the state recovered from disk.
   *
   * @param membershipPolicy which VMs form the group and which may join it
   */
  public QuorumCore(
      RecoveredState recovered,
      MembershipPolicy membershipPolicy,
      Timing timing,
      RandomGenerator random,
      long nowNanos) {
    if (!membershipPolicy.mayBeMember(recovered.self().vmName())) {
      throw new IllegalArgumentException(
          "founders: expected this VM, "
              + recovered.self().vmName()
              + ", found "
              + membershipPolicy.founders());
    }
    state = new CoreState(recovered, membershipPolicy, timing, random, nowNanos);
    elections = new Elections(state);
    leadership = new Leadership(state);
    learners = new Learners(state, leadership);
    replication = new Replication(state, leadership);
    follower = new Follower(state);
    formation = new GroupFormation(state);
  }

  /** Processes events in order at the given time and returns the effects to execute in order. */
  public List<Effect> step(List<Event> events, long nowNanos) {
    state.nowNanos = nowNanos;
    events.forEach(this::handle);
    tick();
    List<Effect> effects = state.effects;
    state.effects = new ArrayList<>();
    return effects;
  }

  /** Returns the time at which {@link #step} must be called even if no event arrives. */
  public long nextDeadlineNanos() {
    if (state.role == Role.LEADER) {
      return replication.nextDeadlineNanos();
    }
    long election = state.isVoter() ? elections.nextDeadlineNanos() : Long.MAX_VALUE;
    return Math.min(election, formation.nextDeadlineNanos());
  }

  /** Returns a copy of the current state. */
  public CoreView view() {
    return new CoreView(
        state.self,
        state.role,
        state.term,
        state.leaderName(),
        leadership.isEstablished(),
        state.log.lastIndex(),
        state.syncedIndex,
        state.commitIndex,
        state.appliedIndex,
        state.isBlank() ? 0 : state.snapshot.index(),
        state.groupId(),
        state.diskFull,
        state.isBlank() ? null : state.log.voters(),
        state.isBlank() ? 0 : state.log.votersIndex(),
        learners.vms(),
        elections.answeringVoters());
  }

  MemoryLog log() {
    return state.log;
  }

  private void tick() {
    formation.onTick();
    elections.onTick();
    if (state.role != Role.LEADER) {
      return;
    }
    boolean yieldsLeadership = state.diskFull && leadership.otherVotersCanLead();
    if (yieldsLeadership || !leadership.hasQuorum()) {
      follow(null);
      return;
    }
    learners.onTick();
    leadership.advanceCommit();
    replication.sendDue();
    leadership.confirmReads();
  }

  private void handle(Event event) {
    if (event instanceof Event.Received received) {
      receive(received.packet());
    } else if (event instanceof Event.Propose proposal) {
      propose(proposal);
    } else if (event instanceof Event.ConfirmLeadership read) {
      confirmLeadership(read.requestId());
    } else if (event instanceof Event.VoteSynced synced) {
      voteSynced(synced.sequence());
    } else if (event instanceof Event.LogSynced synced) {
      logSynced(synced);
    } else if (event instanceof Event.SnapshotTaken taken) {
      snapshotTaken(taken);
    } else if (event instanceof Event.DiskFull disk) {
      diskFull(disk.full());
    }
  }

  private void propose(Event.Propose proposal) {
    if (state.role == Role.LEADER) {
      leadership.onPropose(proposal);
    } else {
      failNotLeader(proposal.requestId());
    }
  }

  private void confirmLeadership(long requestId) {
    if (state.role == Role.LEADER) {
      leadership.onConfirmLeadership(requestId);
    } else {
      failNotLeader(requestId);
    }
  }

  private void failNotLeader(long requestId) {
    ProposalFailure failure = new ProposalFailure.NotLeader(state.leaderName());
    state.effects.add(new Effect.Fail(requestId, failure));
  }

  private void voteSynced(long sequence) {
    state.syncedVoteSequence = Math.max(state.syncedVoteSequence, sequence);
    if (elections.onVoteSynced()) {
      leadership.begin();
    }
  }

  private void logSynced(Event.LogSynced synced) {
    if (synced.epoch() != state.logEpoch) {
      return;
    }
    state.membershipSynced = true;
    state.syncedIndex = Math.max(state.syncedIndex, synced.index());
    follower.onLogSynced();
  }

  private void diskFull(boolean full) {
    boolean filledUp = full && !state.diskFull;
    state.diskFull = full;
    if (filledUp && state.role == Role.LEADER) {
      leadership.onDiskFull();
    }
  }

  private void snapshotTaken(Event.SnapshotTaken taken) {
    boolean isNewer = !state.isBlank() && taken.index() > state.snapshot.index();
    if (!isNewer || taken.index() > state.appliedIndex) {
      return;
    }
    long index = taken.index();
    state.snapshot =
        new SnapshotImage(
            index,
            state.log.termAt(index),
            state.groupId(),
            state.log.votersAt(index),
            taken.data());
    state.log.compactTo(index - RETAINED_ENTRIES);
    state.effects.add(new Effect.SaveSnapshot(state.logEpoch, state.snapshot, false));
  }

  private void receive(Packet packet) {
    if (!isForThisReplica(packet)) {
      return;
    }
    if (isIndependentOfTerm(packet.message())) {
      receiveWithoutTerm(packet);
      return;
    }
    if (state.isBlank() && !(packet.message() instanceof Message.SnapshotPart)) {
      return;
    }
    if (packet.term() > state.term) {
      follow(null);
      state.adoptTerm(packet.term());
    }
    boolean dependsOnTerm = !(packet.message() instanceof Message.PreVoteReply);
    if (dependsOnTerm && packet.term() < state.term) {
      rejectStaleTerm(packet);
      return;
    }
    receiveInTerm(packet.from(), packet.message());
  }

  private boolean isForThisReplica(Packet packet) {
    boolean senderMayBeMember = state.membershipPolicy.mayBeMember(packet.from().vmName());
    boolean fromOther = !packet.from().vmName().equals(state.self.vmName());
    long to = packet.toIncarnation();
    boolean toThis = to == Packet.ANY_INCARNATION || to == state.self.incarnation();
    long group = packet.groupId();
    boolean sameGroup = group == 0 || state.isBlank() || group == state.groupId();
    return senderMayBeMember && fromOther && toThis && sameGroup;
  }

  private static boolean isIndependentOfTerm(Message message) {
    return message instanceof Message.Hello
        || message instanceof Message.HelloReply
        || message instanceof Message.FormGroup
        || message instanceof Message.PreVoteRequest;
  }

  private void receiveWithoutTerm(Packet packet) {
    ReplicaId from = packet.from();
    if (packet.message() instanceof Message.Hello hello) {
      formation.onHello(from, hello);
      if (state.role == Role.LEADER) {
        learners.onHello(from, hello);
      }
    } else if (packet.message() instanceof Message.HelloReply reply) {
      formation.onHelloReply(from, reply);
    } else if (packet.message() instanceof Message.FormGroup form) {
      formation.onFormGroup(packet.groupId(), form);
    } else if (packet.message() instanceof Message.PreVoteRequest request) {
      elections.onPreVoteRequest(from, request);
    }
  }

  private void rejectStaleTerm(Packet packet) {
    if (packet.message() instanceof Message.AppendRequest append) {
      long previous = append.previousIndex();
      state.send(packet.from(), new Message.AppendReply(false, previous, 0, 0, 0, false));
    } else if (packet.message() instanceof Message.SnapshotPart) {
      state.send(packet.from(), new Message.AppendReply(false, 0, 0, 0, 0, false));
    } else if (packet.message() instanceof Message.VoteRequest) {
      state.send(packet.from(), new Message.VoteReply(false));
    }
  }

  private void receiveInTerm(ReplicaId from, Message message) {
    if (message instanceof Message.AppendRequest append) {
      follower.onAppend(from, append);
    } else if (message instanceof Message.SnapshotPart part) {
      follower.onSnapshotPart(from, part);
    } else if (message instanceof Message.VoteRequest request) {
      elections.onVoteRequest(from, request);
    } else if (message instanceof Message.PreVoteReply reply) {
      elections.onPreVoteReply(from, reply);
    } else if (message instanceof Message.VoteReply reply) {
      if (elections.onVoteReply(from, reply)) {
        leadership.begin();
      }
    } else if (state.role == Role.LEADER) {
      receiveAsLeader(from, message);
    }
  }

  private void receiveAsLeader(ReplicaId from, Message message) {
    if (message instanceof Message.AppendReply reply) {
      leadership.onAppendReply(from, reply);
    } else if (message instanceof Message.SnapshotReply reply) {
      replication.onSnapshotReply(from, reply);
    }
  }

  private void follow(ReplicaId leader) {
    boolean wasLeader = state.role == Role.LEADER;
    if (state.role != Role.BLANK) {
      state.role = Role.FOLLOWER;
    }
    state.leader = leader;
    if (wasLeader) {
      state.lastLeaderContactNanos = state.nowNanos;
      state.resetElectionDeadline();
      leadership.end();
    }
  }
}
