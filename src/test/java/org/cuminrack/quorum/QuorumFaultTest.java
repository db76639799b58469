package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.Stream;
import org.cuminrack.storage.FillableDisk;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class QuorumFaultTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(500);

  @TempDir Path folder;

  @Test
  void shouldNotForceAnElectionAfterALongPartition() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      group.proposeUntilApplied("before");
      TestVm leader = group.awaitLeader();
      TestVm isolated = group.others(leader).get(0);
      isolated.partitioned = true;
      TestGroup.await(
          "the isolated VM to lose contact with the leader",
          () -> isolated.node.leader().isEmpty());
      for (int i = 0; i < 100; i++) {
        group.proposeUntilApplied("line " + i);
      }
      long term = leader.node.term();

      isolated.partitioned = false;
      group.awaitLine(isolated, "line 99");

      assertThat(leader.node.isLeader()).isTrue();
      assertThat(leader.node.term()).isEqualTo(term);
    }
  }

  @Test
  void shouldFailReadsAndProposalsOnAPartitionedLeader() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      group.proposeUntilApplied("before");
      TestVm oldLeader = group.awaitLeader();
      oldLeader.partitioned = true;

      Either<ProposalFailure, Long> read = oldLeader.node.confirmLeadership(SHORT_TIMEOUT).join();
      Either<ProposalFailure, AppliedProposal> proposal =
          oldLeader.node.propose(TextList.bytes("lost"), SHORT_TIMEOUT).join();
      group.proposeUntilApplied("after");
      oldLeader.partitioned = false;
      group.awaitLine(oldLeader, "after");

      assertThat(read.isLeft()).isTrue();
      assertThat(proposal.isLeft()).isTrue();
      assertThat(oldLeader.list.lines()).containsNoDuplicates();
    }
  }

  @Test
  void shouldStayReadableWhileAllDisksAreFull() {
    FillableDisk disk = new FillableDisk();
    try (TestGroup group = new TestGroup(folder, "a", "b", "c")) {
      group.vms.values().forEach(vm -> vm.disk = disk);
      group.startAll();
      group.proposeUntilApplied("before");

      disk.setFull(true);
      TestGroup.await(
          "a proposal to fail because the disks are full",
          () -> proposalFailureOnLeader(group) instanceof ProposalFailure.ReadOnly);
      assertThat(group.awaitLeader().node.confirmLeadership(TIMEOUT).join().isRight()).isTrue();
      disk.setFull(false);

      group.proposeUntilApplied("after");
    }
  }

  @Test
  void shouldAcceptProposalsWhenOneDiskIsFull() {
    FillableDisk full = new FillableDisk();
    try (TestGroup group = new TestGroup(folder, "a", "b", "c")) {
      group.vms.values().forEach(vm -> vm.disk = new FillableDisk());
      group.startAll();
      TestVm first = group.awaitLeader();
      first.stopNode();
      first.disk = full;
      group.start(first);
      group.proposeUntilApplied("before");

      full.setFull(true);
      group.proposeUntilApplied("after");

      TestGroup.await("a leader", () -> group.leaderOrNull() != null);
      assertThat(group.vm(first.name).list.lines()).contains("before");
    }
  }

  @Test
  void shouldRejoinAsANewReplicaWhenItsLogIsDamaged() throws IOException {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      for (int i = 0; i < 20; i++) {
        group.proposeUntilApplied("line " + i);
      }
      group.awaitSameLines();
      TestVm damaged = group.others(group.awaitLeader()).get(0);
      String before = damaged.node.status().replica();
      damaged.stopNode();
      damageFirstSegment(damaged.folder);

      group.start(damaged);

      group.awaitLine(damaged, "line 19");
      assertThat(damaged.node.status().corruption()).contains("log-");
      assertThat(damaged.node.status().replica()).isNotEqualTo(before);
    }
  }

  @Test
  void shouldStallWithoutAQuorumDuringAReplacementAndThenRecover() throws IOException {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      group.proposeUntilApplied("before");
      group.awaitSameLines();
      TestVm leader = group.awaitLeader();
      TestVm wiped = group.others(leader).get(0);
      TestVm stopped = group.others(leader).get(1);
      wiped.stopNode();
      TestGroup.wipe(wiped);
      stopped.stopNode();
      group.start(wiped);

      assertThat(proposalFailureOn(leader)).isNotNull();
      assertThat(wiped.list.lines()).doesNotContain("stalled");
      group.start(stopped);
      group.proposeUntilApplied("after");

      group.awaitLine(wiped, "after");
    }
  }

  private static ProposalFailure proposalFailureOnLeader(TestGroup group) {
    return proposalFailureOn(group.awaitLeader());
  }

  private static ProposalFailure proposalFailureOn(TestVm vm) {
    Either<ProposalFailure, AppliedProposal> outcome =
        vm.node.propose(TextList.bytes("stalled"), SHORT_TIMEOUT).join();
    return outcome.isLeft() ? outcome.getLeft() : null;
  }

  private static void damageFirstSegment(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      Path segment =
          files
              .filter(file -> file.getFileName().toString().startsWith("log-"))
              .findFirst()
              .orElseThrow();
      byte[] bytes = Files.readAllBytes(segment);
      bytes[bytes.length / 2] ^= 1;
      Files.write(segment, bytes);
    }
  }
}
