package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminrack.system.Conditions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A site loses as much as it has to bear, and the operator's newest document is still there. */
@Tag("process")
class ToleratedLossesTest {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration ACKNOWLEDGEMENT_BOUND = Duration.ofSeconds(5);
  private static final Duration CATCH_UP_BOUND = Duration.ofSeconds(6);
  private static final Duration RECOVERY_BOUND = Duration.ofSeconds(15);

  @TempDir Path folder;

  @Test
  void shouldReadTheFirstDocumentAfterTheLossOfTwoDisksAndAllPowerAtAGrownSite() throws Exception {
    checkFirstDocumentAfterLossOfDisks(ControlSite.GROWN, ControlSite.GROWN.vmLosses());
  }

  @Test
  void shouldReadTheFirstDocumentAfterTheLossOfOneDiskAndAllPowerAtAGrownSite() throws Exception {
    checkFirstDocumentAfterLossOfDisks(ControlSite.GROWN, 1);
  }

  @Test
  void shouldReadTheFirstDocumentAfterTheLossOfOneDiskAndAllPower() throws Exception {
    checkFirstDocumentAfterLossOfDisks(ControlSite.STANDARD, ControlSite.STANDARD.vmLosses());
  }

  private void checkFirstDocumentAfterLossOfDisks(ControlSite site, int lostDiskCount)
      throws Exception {
    try (ControlFleet fleet = ControlFleet.start(folder, site)) {
      RoutingOperator operator = fleet.operator();
      String leader = operator.put(3, START_TIMEOUT);
      fleet.restartAllWithoutDisksOf(
          Stream.concat(Stream.of(leader), fleet.seeds().stream())
              .distinct()
              .limit(lostDiskCount)
              .toList());

      assertThat(operator.readVersion(RECOVERY_BOUND)).isEqualTo(3);
      operator.put(5, ACKNOWLEDGEMENT_BOUND);
      assertThat(operator.readVersion(RECOVERY_BOUND)).isEqualTo(5);
    }
  }

  @Test
  void shouldReadTheNewestDocumentWhenTwoDisksAreLostAfterAVmWasReplaced() throws Exception {
    try (ControlFleet fleet = ControlFleet.start(folder, ControlSite.GROWN)) {
      RoutingOperator operator = fleet.operator();
      operator.put(3, START_TIMEOUT);
      String removed = fleet.seeds().get(0);
      String successor = fleet.replace(removed);
      Conditions.awaitValue(
          "the removed VM's vote to be taken over",
          CATCH_UP_BOUND,
          () -> isReplaced(fleet, removed) ? true : null,
          fleet::groupEvents);
      String leader = operator.put(5, ACKNOWLEDGEMENT_BOUND);
      fleet.restartAllWithoutDisksOf(
          leaderAndOtherVoters(fleet, leader).stream()
              .filter(vm -> !vm.equals(successor))
              .limit(ControlSite.GROWN.vmLosses())
              .toList());

      assertThat(operator.readVersion(RECOVERY_BOUND)).isEqualTo(5);
      operator.put(8, ACKNOWLEDGEMENT_BOUND);
    }
  }

  private static boolean isReplaced(ControlFleet fleet, String removed) {
    return fleet.vms().stream()
        .filter(vm -> fleet.quorum(vm).path("role").asText().equals("leader"))
        .anyMatch(
            leader ->
                !fleet.quorum(leader).path("replacing").asBoolean(true)
                    && !fleet.voters(leader).contains(removed));
  }

  /** Returns the leader, then the other voters. */
  private static List<String> leaderAndOtherVoters(ControlFleet fleet, String leader) {
    return Stream.concat(Stream.of(leader), fleet.voters(leader).stream()).distinct().toList();
  }

  @Test
  void shouldAcknowledgeDocumentsInTimeWhileTwoVmsAreDown() throws Exception {
    try (ControlFleet fleet = ControlFleet.start(folder, ControlSite.GROWN)) {
      RoutingOperator operator = fleet.operator();
      String leader = operator.put(3, START_TIMEOUT);
      List<String> down =
          leaderAndOtherVoters(fleet, leader).stream().limit(ControlSite.GROWN.vmLosses()).toList();
      fleet.kill(down);
      for (long version = 4; version <= 8; version++) {
        operator.put(version, ACKNOWLEDGEMENT_BOUND);
      }
      fleet.restart(down);

      for (String vm : fleet.vms()) {
        Conditions.awaitValue(
            "the newest document at " + vm,
            RECOVERY_BOUND,
            () -> isNewest(operator.readVersionAt(fleet.controlAddress(vm)), 8),
            fleet::groupEvents);
      }
    }
  }

  /** Returns null if no version was read, so that it is read again. */
  private static Boolean isNewest(Optional<Long> read, long newest) {
    read.ifPresent(version -> assertThat(version).isEqualTo(newest));
    return read.isPresent() ? true : null;
  }

  @Test
  void shouldReadTheNewestDocumentWhileTheLargestDataCentreIsLost() throws Exception {
    try (ControlFleet fleet = ControlFleet.start(folder, ControlSite.GROWN)) {
      RoutingOperator operator = fleet.operator();
      operator.put(3, START_TIMEOUT);
      fleet.kill(fleet.largestDataCentre());

      assertThat(operator.readVersion(RECOVERY_BOUND)).isEqualTo(3);
      operator.put(5, ACKNOWLEDGEMENT_BOUND);
    }
  }
}
