package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A group of production replicas in one process, connected over loopback. */
final class TestGroup implements AutoCloseable {
  static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(2);

  final Map<String, TestVm> vms = new TreeMap<>();
  private final Map<String, String> founders = new TreeMap<>();

  TestGroup(Path folder, String... names) {
    for (String name : names) {
      TestVm vm = new TestVm(name, folder.resolve(name), sender -> vms.get(sender).partitioned);
      vms.put(name, vm);
      founders.put(name, vm.address());
    }
  }

  TestGroup startAll() {
    vms.values().forEach(this::start);
    return this;
  }

  void start(TestVm vm) {
    vm.start(founders);
  }

  TestVm vm(String name) {
    return vms.get(name);
  }

  TestVm awaitLeader() {
    await("a leader", () -> leaderOrNull() != null);
    return leaderOrNull();
  }

  TestVm leaderOrNull() {
    return reachableVms().filter(vm -> vm.node.isLeader()).findFirst().orElse(null);
  }

  Stream<TestVm> reachableVms() {
    return vms.values().stream().filter(vm -> vm.node != null && !vm.partitioned);
  }

  List<TestVm> others(TestVm vm) {
    return vms.values().stream().filter(other -> other != vm).toList();
  }

  /** Proposes a line on the current leader and retries until it is applied. */
  AppliedProposal proposeUntilApplied(String line) {
    long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (System.nanoTime() < end) {
      TestVm leader = awaitLeader();
      QuorumNode node = leader.node;
      if (node != null) {
        Either<ProposalFailure, AppliedProposal> outcome =
            node.propose(TextList.bytes(line), PROPOSAL_TIMEOUT).join();
        if (outcome.isRight()) {
          return outcome.get();
        }
      }
    }
    throw new AssertionError("proposal not applied within " + AWAIT_TIMEOUT + ": " + line);
  }

  void awaitLine(TestVm vm, String line) {
    await(vm.name + " to have " + line, () -> vm.list.lines().contains(line));
  }

  void awaitSameLines() {
    await(
        "the same lines on all reachable VMs",
        () -> reachableVms().map(vm -> vm.list.lines()).distinct().count() == 1);
  }

  static void wipe(TestVm vm) throws IOException {
    try (Stream<Path> files = Files.walk(vm.folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  static void await(String description, BooleanSupplier condition) {
    long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    boolean holds = condition.getAsBoolean();
    while (!holds && System.nanoTime() < end) {
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
      holds = condition.getAsBoolean();
    }
    assertWithMessage(description).that(holds).isTrue();
  }

  @Override
  public void close() {
    vms.values().forEach(TestVm::close);
  }
}
