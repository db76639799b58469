package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class QuorumNodeTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @TempDir Path folder;

  @Test
  void shouldApplyProposalsAsTheOnlyVoter() {
    try (TestGroup group = new TestGroup(folder, "a").startAll()) {
      AppliedProposal applied = group.proposeUntilApplied("x");

      assertThat(new String(applied.result(), StandardCharsets.UTF_8))
          .isEqualTo("x@" + applied.index());
      assertThat(group.vm("a").node.confirmLeadership(TIMEOUT).join().isRight()).isTrue();
    }
  }

  @Test
  void shouldApplyAProposalOnEveryReplica() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      group.proposeUntilApplied("x");

      group.vms.values().forEach(vm -> group.awaitLine(vm, "x"));
    }
  }

  @Test
  void shouldNotReportOldStateAsCurrentAfterARestart() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      for (int i = 0; i < 20; i++) {
        group.proposeUntilApplied("line-" + i);
      }
      group.vms.values().forEach(TestVm::stopNode);
      TestVm first = group.vm("a");
      TestVm second = group.vm("b");
      group.start(first);
      assertThat(first.node.isCurrent()).isFalse();

      group.start(second);

      TestGroup.await(
          "both to be current", () -> first.node.isCurrent() && second.node.isCurrent());
      assertThat(first.list.lines()).hasSize(20);
      assertThat(second.list.lines()).hasSize(20);
    }
  }

  @Test
  void shouldReportTheLeaderOnAFollower() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      TestVm leader = group.awaitLeader();
      group.proposeUntilApplied("x");
      TestVm follower = group.others(leader).get(0);
      group.awaitLine(follower, "x");

      Either<ProposalFailure, AppliedProposal> outcome =
          follower.node.propose(TextList.bytes("y"), TIMEOUT).join();

      assertThat(outcome.getLeft()).isEqualTo(new ProposalFailure.NotLeader(leader.name));
    }
  }

  @Test
  void shouldKeepAllAppliedLinesWhenLeadersAreStopped() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      List<String> applied = new ArrayList<>();
      for (int i = 0; i < 300; i++) {
        if (i % 100 == 50) {
          TestVm leader = group.awaitLeader();
          leader.stopNode();
          group.proposeUntilApplied("without " + leader.name + " " + i);
          group.start(leader);
        }
        group.proposeUntilApplied("line " + i);
        applied.add("line " + i);
      }
      group.awaitSameLines();

      for (TestVm vm : group.vms.values()) {
        assertThat(vm.list.lines()).containsAtLeastElementsIn(applied).inOrder();
      }
    }
  }

  @Test
  void shouldKeepAllLinesAfterARestartOfAllVms() {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      for (int i = 0; i < 250; i++) {
        group.proposeUntilApplied("line " + i);
      }
      group.awaitSameLines();
      List<String> before = group.vm("a").list.lines();
      group.vms.values().forEach(TestVm::stopNode);

      group.startAll();
      group.proposeUntilApplied("after");

      for (TestVm vm : group.vms.values()) {
        group.awaitLine(vm, "after");
        assertThat(vm.list.lines()).containsAtLeastElementsIn(before).inOrder();
      }
    }
  }

  @Test
  void shouldKeepAllLinesWhenEachDiskIsLostAndReplacedInTurn() throws Exception {
    try (TestGroup group = new TestGroup(folder, "a", "b", "c").startAll()) {
      for (int i = 0; i < 150; i++) {
        group.proposeUntilApplied("line " + i);
      }
      for (String lost : List.of("b", "c", "a")) {
        TestVm vm = group.vm(lost);
        String before = vm.node.status().replica();
        vm.stopNode();
        TestGroup.wipe(vm);
        group.start(vm);
        TestGroup.await("replacement of " + lost, () -> isVoterAgain(group, vm));
        assertThat(vm.node.status().replica()).isNotEqualTo(before);
        group.proposeUntilApplied("after " + lost);
      }
      group.awaitSameLines();

      assertThat(group.vm("a").list.lines()).contains("line 0");
      assertThat(group.vm("a").list.lines()).contains("line 149");
    }
  }

  private static boolean isVoterAgain(TestGroup group, TestVm vm) {
    TestVm leader = group.leaderOrNull();
    if (leader == null) {
      return false;
    }
    QuorumStatus status = leader.node.status();
    String incarnation = vm.node.status().replica().substring(vm.name.length() + 1);
    return !status.replacing() && incarnation.equals(status.voters().get(vm.name));
  }
}
