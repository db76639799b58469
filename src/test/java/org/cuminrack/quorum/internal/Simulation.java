package org.cuminrack.quorum.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A deterministic, single-threaded simulation of a group with seeded randomness. Messages are lost,
 * duplicated and reordered; VMs crash, freeze, are partitioned, lose their disks and run out of
 * disk space. The number of disks lost at the same time stays within what the group tolerates.
 *
 * <p>A step of the simulation injects a fault, or takes another random action, such as the delivery
 * of a packet, and then runs the core of one VM.
 */
final class Simulation {
  private static final int RECOVERY_STEPS = 20_000;
  private static final int MEAN_STEPS_TO_END_FAULTS = 150;

  final Invariants invariants = new Invariants();
  private final Random random;
  private final TreeMap<String, SimulatedVm> vms = new TreeMap<>();
  private final List<Packet> network = new ArrayList<>();
  private final int lossPercent;
  private final int meanStepsToSync;
  private final int faultPerMille;
  private final boolean refusesVotes;
  private long nowNanos;
  private long lastRequestId;
  private long lastIncarnation = 100;

  Simulation(long seed, int size, Mutation mutation) {
    this(seed, size, mutation, false);
  }

  /**
   * Creates a simulation.
   *
   * @param refusesVotes whether a disk without room refuses votes too
   */
  Simulation(long seed, int size, Mutation mutation, boolean refusesVotes) {
    this.refusesVotes = refusesVotes;
    random = new Random(seed);
    lossPercent = random.nextInt(15);
    meanStepsToSync = 1 + random.nextInt(4);
    faultPerMille = (1 + random.nextInt(6)) * (refusesVotes ? 4 : 1);
    TreeSet<String> names = new TreeSet<>();
    for (int i = 0; i < size; i++) {
      names.add("vm" + i);
    }
    MembershipPolicy policy = MembershipPolicy.closed(names);
    for (String name : names) {
      ReplicaId self = new ReplicaId(name, ++lastIncarnation);
      Random vmRandom = new Random(random.nextLong());
      vms.put(name, new SimulatedVm(self, policy, vmRandom, invariants, mutation, network::add));
    }
    vms.values().forEach(vm -> vm.start(nowNanos));
  }

  /** Runs steps with random faults; about half of the seeds start with a phase without faults. */
  void run(int steps) {
    int faultFreeSteps = random.nextBoolean() ? 0 : steps / 8;
    for (int i = 0; i < faultFreeSteps; i++) {
      runStep(randomVm());
    }
    for (int i = 0; i < steps; i++) {
      SimulatedVm vm = randomVm();
      if (random.nextInt(1000) < faultPerMille) {
        injectFault(vm);
      } else {
        runStep(vm);
      }
    }
  }

  private SimulatedVm randomVm() {
    return new ArrayList<>(vms.values()).get(random.nextInt(vms.size()));
  }

  private void runStep(SimulatedVm vm) {
    if (random.nextInt(MEAN_STEPS_TO_END_FAULTS) == 0) {
      endFaults(vm);
    }
    int choice = random.nextInt(100);
    if (choice < 45) {
      deliverRandomPacket();
    } else if (choice < 57) {
      nowNanos += random.nextInt(4_000_000);
    } else if (choice < 64 && vm.isUp()) {
      submitRandomRequest(vm);
    } else if (vm.isUp() && !vm.frozen && random.nextInt(meanStepsToSync) == 0) {
      vm.executeNextPending();
    }
    if (vm.isUp() && !vm.frozen) {
      vm.step(nowNanos);
    }
  }

  /** Restarts the VM if it is down and ends its other faults. */
  private void endFaults(SimulatedVm vm) {
    vm.frozen = false;
    vm.partitioned = false;
    if (!vm.isUp()) {
      vm.start(nowNanos);
    }
    if (vm.disk.full) {
      vm.setDiskFull(false, false);
    }
  }

  private void submitRandomRequest(SimulatedVm vm) {
    lastRequestId++;
    if (random.nextInt(3) == 0) {
      vm.confirmLeadership(lastRequestId);
    } else {
      byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(lastRequestId).array();
      vm.inbox.add(new Event.Propose(lastRequestId, command));
    }
  }

  private void deliverRandomPacket() {
    if (network.isEmpty()) {
      return;
    }
    int candidateCount = Math.min(network.size(), 1 + random.nextInt(8));
    int chosen = random.nextInt(candidateCount);
    // A packet that is not removed is delivered again later.
    Packet packet = random.nextInt(50) == 0 ? network.get(chosen) : network.remove(chosen);
    if (random.nextInt(100) >= lossPercent) {
      deliver(packet);
    }
  }

  private void deliver(Packet packet) {
    SimulatedVm to = vms.get(packet.toVm());
    boolean partitioned = to.partitioned || vms.get(packet.from().vmName()).partitioned;
    if (to.isUp() && !partitioned) {
      to.inbox.add(new Event.Received(packet));
      if (!to.frozen) {
        to.step(nowNanos);
      }
    }
  }

  private void injectFault(SimulatedVm vm) {
    switch (random.nextInt(8)) {
      case 0, 1 -> crashOrStart(vm);
      case 2 -> wipeIfTolerable(vm);
      case 3, 4 -> vm.frozen = vm.isUp() && !vm.frozen;
      case 5 -> toggleDiskFull(vm);
      case 6 -> vm.partitioned = !vm.partitioned;
      default -> {
        if (refusesVotes) {
          toggleDiskFull(vm);
        } else {
          dropSomePackets();
        }
      }
    }
  }

  private void crashOrStart(SimulatedVm vm) {
    if (vm.isUp()) {
      vm.crash();
    } else {
      vm.start(nowNanos);
    }
  }

  private void toggleDiskFull(SimulatedVm vm) {
    if (vm.isUp()) {
      vm.setDiskFull(!vm.disk.full, refusesVotes);
    }
  }

  private void dropSomePackets() {
    network.removeIf(packet -> random.nextInt(3) == 0);
  }

  private void wipeIfTolerable(SimulatedVm vm) {
    VoterSet voters = invariants.committedVoters();
    if (voters == null || voters.isJoint()) {
      return;
    }
    long lost = vms.values().stream().filter(other -> !voters.contains(other.disk.self)).count();
    boolean isLost = !voters.contains(vm.disk.self);
    boolean tolerable = isLost || lost < (vms.size() - 1) / 2;
    if (tolerable) {
      vm.wipe(++lastIncarnation);
      vm.start(nowNanos);
    }
  }

  /**
   * Ends all faults and returns whether the group recovers: it has a leader that knows the last
   * committed entry, all VMs are voters, and all have applied nearly all committed entries.
   */
  boolean endAllFaultsAndAwaitRecovery() {
    vms.values().forEach(this::endFaults);
    for (int i = 0; i < RECOVERY_STEPS; i++) {
      runStepWithoutFaults();
      if (i % 500 == 0 && hasRecovered()) {
        return true;
      }
    }
    return false;
  }

  private void runStepWithoutFaults() {
    nowNanos += 1_000_000;
    if (random.nextInt(20) == 0) {
      submitRandomRequest(randomVm());
    }
    vms.values().forEach(SimulatedVm::executeNextPending);
    vms.values().forEach(vm -> vm.step(nowNanos));
    List<Packet> packets = List.copyOf(network);
    network.clear();
    packets.forEach(this::deliver);
  }

  private boolean hasRecovered() {
    CoreView leader =
        vms.values().stream()
            .map(SimulatedVm::view)
            .filter(CoreView::established)
            .findFirst()
            .orElse(null);
    if (leader == null || leader.voters().isJoint()) {
      return false;
    }
    boolean allAreVoters =
        vms.values().stream().allMatch(vm -> leader.voters().contains(vm.disk.self));
    long lagEntries =
        leader.commitIndex()
            - vms.values().stream().mapToLong(vm -> vm.view().appliedIndex()).min().orElse(0);
    return allAreVoters && lagEntries < 20 && leader.commitIndex() == invariants.committedIndex();
  }

  String describe() {
    Map<String, CoreView> views = new TreeMap<>();
    vms.forEach((name, vm) -> views.put(name, vm.isUp() ? vm.view() : null));
    return views.toString();
  }
}
