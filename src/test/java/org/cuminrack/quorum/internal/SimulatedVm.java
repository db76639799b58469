package org.cuminrack.quorum.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminrack.quorum.ProposalFailure;

/** A simulated VM: the production core on a simulated disk and state machine. */
final class SimulatedVm {
  /** A heartbeat interval of 20 ms and election timeouts of 100 to 200 ms. */
  static final Timing TIMING = new Timing(20_000_000, 100_000_000, 200_000_000);

  private static final int SNAPSHOT_INTERVAL_ENTRIES = 20;
  private static final int MEAN_STEPS_TO_RETRY = 8;

  final SimulatedDisk disk;
  final List<Event> inbox = new ArrayList<>();
  boolean frozen;
  boolean partitioned;
  private final Invariants invariants;
  private final Mutation mutation;
  private MembershipPolicy policy;
  private final Random random;
  private final Consumer<Packet> network;
  private final Map<Long, Long> committedIndexByReadId = new HashMap<>();
  private QuorumCore core;
  private long syncedVoteSequence;

  /** Whether the core was told that the disk refuses writes. */
  private boolean reportsRefusal;

  private long stateHash;
  private long snapshotIndex;

  SimulatedVm(
      ReplicaId self,
      MembershipPolicy policy,
      Random random,
      Invariants invariants,
      Mutation mutation,
      Consumer<Packet> network) {
    this.disk = new SimulatedDisk(self);
    this.policy = policy;
    this.random = random;
    this.invariants = invariants;
    this.mutation = mutation;
    this.network = network;
  }

  boolean isUp() {
    return core != null;
  }

  CoreView view() {
    return core.view();
  }

  void start(long nowNanos) {
    core = new QuorumCore(disk.recovered(), policy, TIMING, random, nowNanos);
    syncedVoteSequence = 0;
    snapshotIndex = 0;
  }

  /** Crashes the replica; a random number of the first pending writes reach the disk. */
  void crash() {
    int maxWritten = random.nextInt(disk.queue.size() + 1);
    for (int i = 0; i < maxWritten && random.nextBoolean(); i++) {
      Effect effect = disk.queue.poll();
      if (effect != null && !disk.refuses(effect)) {
        write(effect);
      }
    }
    if (disk.refusedWrite() != null && random.nextBoolean()) {
      write(disk.refusedWrite());
    }
    disk.crash();
    reportsRefusal = false;
    inbox.clear();
    core = null;
    frozen = false;
    committedIndexByReadId.clear();
  }

  void wipe(long incarnation) {
    crash();
    disk.wipe(incarnation, mutation == Mutation.WIPED_VM_VOTES_AGAIN);
  }

  /** Wipes the disk of a VM that may not form a group again. */
  void wipeAndJoin(long incarnation) {
    wipe(incarnation);
    policy =
        new MembershipPolicy(
            policy.founders(), true, false, policy.tolerance(), policy.dataCentre());
  }

  /** Makes the disk refuse writes or accept them again; the replica notices at its next write. */
  void setDiskFull(boolean full, boolean refusesVotes) {
    disk.full = full;
    disk.refusesVotes = refusesVotes;
  }

  void confirmLeadership(long requestId) {
    committedIndexByReadId.put(requestId, invariants.committedIndex());
    inbox.add(new Event.ConfirmLeadership(requestId));
  }

  /** Executes the next pending effect: sends a packet, or writes and reports it to the core. */
  void executeNextPending() {
    if (disk.queue.isRefusing() && random.nextInt(MEAN_STEPS_TO_RETRY) == 0) {
      disk.queue.retry();
    }
    Effect effect = disk.queue.poll();
    if (effect instanceof Effect.Send send) {
      sendToNetwork(send.packet());
    } else if (effect != null && disk.refuses(effect)) {
      refuse(effect);
    } else if (effect != null) {
      inbox.add(write(effect));
    } else if (reportsRefusal && !disk.queue.isRefusing()) {
      reportsRefusal = false;
      inbox.add(new Event.DiskFull(false));
    }
  }

  private void refuse(Effect effect) {
    if (mutation == Mutation.TRUSTS_A_REPEATED_SYNC && effect instanceof Effect.SaveVote vote) {
      inbox.add(new Event.VoteSynced(vote.sequence()));
      return;
    }
    disk.refuse(effect);
    if (!reportsRefusal) {
      reportsRefusal = true;
      inbox.add(new Event.DiskFull(true));
    }
  }

  private Event write(Effect effect) {
    if (effect instanceof Effect.AppendLog append) {
      append.entries().forEach(entry -> invariants.recordSync(disk.self, entry));
    }
    return disk.write(effect);
  }

  /** Runs one core step on all queued events. */
  void step(long nowNanos) {
    List<Event> events = List.copyOf(inbox);
    inbox.clear();
    for (Event event : events) {
      if (event instanceof Event.VoteSynced synced) {
        syncedVoteSequence = Math.max(syncedVoteSequence, synced.sequence());
      }
    }
    core.step(events, nowNanos).forEach(this::execute);
    if (core.view().role() == Role.LEADER) {
      invariants.checkLeader(disk.self, core.view().term(), core.log());
    }
    takeSnapshotIfDue();
  }

  private void execute(Effect effect) {
    if (effect instanceof Effect.Send send) {
      send(send);
    } else if (effect instanceof Effect.Apply apply) {
      apply(apply.entry());
    } else if (effect instanceof Effect.Restore restore) {
      restore(restore.image());
    } else if (effect instanceof Effect.Confirm confirm) {
      long before = committedIndexByReadId.remove(confirm.requestId());
      invariants.checkRead(disk.self, confirm.index(), before);
    } else if (effect instanceof Effect.Fail fail) {
      recordFailure(fail);
    } else {
      queue(effect);
    }
  }

  private void recordFailure(Effect.Fail fail) {
    boolean isRead = committedIndexByReadId.remove(fail.requestId()) != null;
    if (!isRead && !(fail.failure() instanceof ProposalFailure.OutcomeUnknown)) {
      invariants.recordRejection(fail.requestId());
    }
  }

  private void send(Effect.Send send) {
    Packet packet = mutated(send.packet());
    boolean sendsImmediately =
        send.afterVoteSequence() <= syncedVoteSequence || mutation == Mutation.VOTES_BEFORE_SYNC;
    if (sendsImmediately) {
      sendToNetwork(packet);
    } else {
      disk.queue.add(new Effect.Send(packet, send.afterVoteSequence()));
    }
  }

  private void sendToNetwork(Packet packet) {
    invariants.checkVote(packet, core.view().role() == Role.BLANK);
    network.accept(packet);
  }

  private Packet mutated(Packet packet) {
    if (mutation != Mutation.CONFIRMS_BY_OLD_MESSAGES
        || !(packet.message() instanceof Message.AppendReply reply)) {
      return packet;
    }
    Message mutatedReply =
        new Message.AppendReply(
            reply.accepted(),
            reply.previousIndex(),
            reply.matchIndex(),
            reply.hintIndex(),
            Long.MAX_VALUE,
            reply.diskFull());
    return new Packet(
        packet.from(),
        packet.toVm(),
        packet.toIncarnation(),
        packet.groupId(),
        packet.term(),
        mutatedReply);
  }

  private void queue(Effect effect) {
    disk.queue.add(effect);
    if (effect instanceof Effect.AppendLog append) {
      append.entries().forEach(invariants::checkAppend);
      if (mutation == Mutation.ACKNOWLEDGES_BEFORE_SYNC) {
        List<LogEntry> entries = append.entries();
        entries.forEach(entry -> invariants.recordSync(disk.self, entry));
        long last = entries.get(entries.size() - 1).index();
        inbox.add(new Event.LogSynced(append.epoch(), last));
      }
    }
  }

  private void apply(LogEntry entry) {
    invariants.checkApply(disk.self, entry, core.log().voters(), core.view().term());
    stateHash = Invariants.nextHash(stateHash, entry);
  }

  private void restore(SnapshotImage image) {
    if (image.index() == 0) {
      invariants.recordFormation(image);
    }
    invariants.checkRestore(disk.self, image);
    stateHash = image.data().length == 0 ? 0 : ByteBuffer.wrap(image.data()).getLong();
    snapshotIndex = image.index();
  }

  private void takeSnapshotIfDue() {
    long applied = core.view().appliedIndex();
    if (applied - snapshotIndex >= SNAPSHOT_INTERVAL_ENTRIES) {
      snapshotIndex = applied;
      byte[] data = ByteBuffer.allocate(Long.BYTES).putLong(stateHash).array();
      inbox.add(new Event.SnapshotTaken(applied, data));
    }
  }
}
