package org.cuminrack.quorum.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A group in one thread, driven by a seed: messages are lost, doubled and reordered, VMs crash,
 * freeze, are cut off, lose their disks and run out of room. No more disks are lost at a time than
 * the group promises to bear.
 */
final class Simulation {
  private static final int LIVELY_STEPS = 20_000;
  private static final int VISITS_TO_HEAL = 150;

  final Invariants invariants = new Invariants();
  private final Random random;
  private final TreeMap<String, SimulatedVm> vms = new TreeMap<>();
  private final List<Packet> network = new ArrayList<>();
  private final int lossPercent;
  private final int visitsToSync;
  private final int faultPerMille;
  private long now;
  private long lastRequest;
  private long lastIncarnation = 100;

  Simulation(long seed, int size, Mutation mutation) {
    random = new Random(seed);
    lossPercent = random.nextInt(15);
    visitsToSync = 1 + random.nextInt(4);
    faultPerMille = 1 + random.nextInt(6);
    TreeSet<String> names = new TreeSet<>();
    for (int i = 0; i < size; i++) {
      names.add("vm" + i);
    }
    for (String name : names) {
      ReplicaId self = new ReplicaId(name, ++lastIncarnation);
      Random own = new Random(random.nextLong());
      vms.put(name, new SimulatedVm(self, names, own, invariants, mutation, network::add));
    }
    vms.values().forEach(vm -> vm.start(now));
  }

  /** Takes steps, with faults among them; every other seed begins without faults. */
  void run(int steps) {
    int quietSteps = random.nextBoolean() ? 0 : steps / 8;
    for (int i = 0; i < quietSteps; i++) {
      work(pick());
    }
    for (int i = 0; i < steps; i++) {
      SimulatedVm vm = pick();
      if (random.nextInt(1000) < faultPerMille) {
        fault(vm);
      } else {
        work(vm);
      }
    }
  }

  private SimulatedVm pick() {
    return new ArrayList<>(vms.values()).get(random.nextInt(vms.size()));
  }

  private void work(SimulatedVm vm) {
    if (random.nextInt(VISITS_TO_HEAL) == 0) {
      heal(vm);
    }
    int choice = random.nextInt(100);
    if (choice < 45) {
      deliver();
    } else if (choice < 57) {
      now += random.nextInt(4_000_000);
    } else if (choice < 64 && vm.isUp()) {
      request(vm);
    } else if (vm.isUp() && !vm.frozen && random.nextInt(visitsToSync) == 0) {
      vm.syncNext();
    }
    if (vm.isUp() && !vm.frozen) {
      vm.step(now);
    }
  }

  private void heal(SimulatedVm vm) {
    vm.frozen = false;
    vm.cutOff = false;
    if (!vm.isUp()) {
      vm.start(now);
    }
    if (vm.disk.full) {
      vm.setDiskFull(false);
    }
  }

  private void request(SimulatedVm vm) {
    lastRequest++;
    if (random.nextInt(3) == 0) {
      vm.confirmLeadership(lastRequest);
    } else {
      byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(lastRequest).array();
      vm.inbox.add(new Event.Propose(lastRequest, command));
    }
  }

  private void deliver() {
    if (network.isEmpty()) {
      return;
    }
    int oldest = Math.min(network.size(), 1 + random.nextInt(8));
    int chosen = random.nextInt(oldest);
    Packet packet = random.nextInt(50) == 0 ? network.get(chosen) : network.remove(chosen);
    if (random.nextInt(100) >= lossPercent) {
      hand(packet);
    }
  }

  private void hand(Packet packet) {
    SimulatedVm to = vms.get(packet.toVm());
    boolean cutOff = to.cutOff || vms.get(packet.from().vmName()).cutOff;
    if (to.isUp() && !cutOff) {
      to.inbox.add(new Event.Received(packet));
      if (!to.frozen) {
        to.step(now);
      }
    }
  }

  private void fault(SimulatedVm vm) {
    switch (random.nextInt(8)) {
      case 0, 1 -> crashOrStart(vm);
      case 2 -> wipeIfBearable(vm);
      case 3, 4 -> vm.frozen = vm.isUp() && !vm.frozen;
      case 5 -> setDiskFull(vm);
      case 6 -> vm.cutOff = !vm.cutOff;
      default -> dropSomePackets();
    }
  }

  private void crashOrStart(SimulatedVm vm) {
    if (vm.isUp()) {
      vm.crash();
    } else {
      vm.start(now);
    }
  }

  private void setDiskFull(SimulatedVm vm) {
    if (vm.isUp()) {
      vm.setDiskFull(!vm.disk.full);
    }
  }

  private void dropSomePackets() {
    network.removeIf(packet -> random.nextInt(3) == 0);
  }

  private void wipeIfBearable(SimulatedVm vm) {
    VoterSet voters = invariants.committedVoters();
    if (voters == null || voters.isJoint()) {
      return;
    }
    long lost = vms.values().stream().filter(each -> !voters.contains(each.disk.self)).count();
    boolean isLost = !voters.contains(vm.disk.self);
    boolean bearable = isLost || lost < (vms.size() - 1) / 2;
    if (bearable) {
      vm.wipe(++lastIncarnation);
      vm.start(now);
    }
  }

  /** Ends all faults and returns whether the group is whole again and takes a command. */
  boolean recovers() {
    vms.values().forEach(this::heal);
    for (int i = 0; i < LIVELY_STEPS; i++) {
      runFaultless();
      if (i % 500 == 0 && isWhole()) {
        return true;
      }
    }
    return false;
  }

  private void runFaultless() {
    now += 1_000_000;
    if (random.nextInt(20) == 0) {
      request(pick());
    }
    vms.values().forEach(SimulatedVm::syncNext);
    vms.values().forEach(vm -> vm.step(now));
    List<Packet> packets = List.copyOf(network);
    network.clear();
    packets.forEach(this::hand);
  }

  private boolean isWhole() {
    CoreView leader =
        vms.values().stream()
            .map(SimulatedVm::view)
            .filter(CoreView::established)
            .findFirst()
            .orElse(null);
    if (leader == null || leader.voters().isJoint()) {
      return false;
    }
    boolean allVote = vms.values().stream().allMatch(vm -> leader.voters().contains(vm.disk.self));
    long lag =
        leader.commitIndex()
            - vms.values().stream().mapToLong(vm -> vm.view().appliedIndex()).min().orElse(0);
    return allVote && lag < 20 && leader.commitIndex() == invariants.committedIndex();
  }

  String describe() {
    Map<String, CoreView> views = new TreeMap<>();
    vms.forEach((name, vm) -> views.put(name, vm.isUp() ? vm.view() : null));
    return views.toString();
  }
}
