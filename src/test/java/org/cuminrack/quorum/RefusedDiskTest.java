package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cuminrack.storage.FaultyDisk;
import org.cuminrack.storage.FaultyDisk.Operation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The disk of a voter refuses writes for a while; it must not stop the voter for good. */
class RefusedDiskTest {
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 20;

  @TempDir Path folder;

  /** A write that a disk refuses. */
  private enum Position {
    ENTRY(Operation.WRITE, "log-"),
    ENTRY_SYNC(Operation.SYNC, "log-"),
    VOTE(Operation.WRITE, "vote"),
    VOTE_SYNC(Operation.SYNC, "vote"),
    SNAPSHOT(Operation.WRITE, "snapshot-"),
    SNAPSHOT_SYNC(Operation.SYNC, "snapshot-"),
    SNAPSHOT_RENAME(Operation.MOVE, "snapshot-"),
    FOLDER_SYNC(Operation.SYNC_FOLDER, ""),
    TRUNCATION(Operation.TRUNCATE, "log-"),
    NEW_SEGMENT(Operation.CREATE, "log-"),
    IDENTITY(Operation.WRITE, "identity"),
    IDENTITY_RENAME(Operation.MOVE, "identity"),
    ANY(null, "");

    private final Operation refused;
    private final String prefix;

    Position(Operation refused, String prefix) {
      this.refused = refused;
      this.prefix = prefix;
    }

    /** A truncation follows a refused write, so that is refused with it. */
    boolean matches(Operation operation, Path path) {
      boolean isRefused =
          refused == null
              || operation == refused
              || (this == TRUNCATION && operation == Operation.WRITE);
      return isRefused && path.getFileName().toString().startsWith(prefix);
    }
  }

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"NEW_SEGMENT", "IDENTITY", "IDENTITY_RENAME"})
  void shouldTakePartAgainWhicheverWriteWasRefused(Position position) {
    try (TestGroup group = groupOnFaultyDisks()) {
      group.startAll();
      group.proposeUntilApplied("before");
      TestVm victim = group.awaitLeader();

      disk(victim).refuse(position::matches);
      victim.partitioned = true;
      TestGroup.await("another leader", () -> group.leaderOrNull() != null);
      victim.partitioned = false;
      proposeUntil(group, () -> disk(victim).refusedCount() >= 2);

      checkTakesPartAgain(group, victim);
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"NEW_SEGMENT", "IDENTITY", "IDENTITY_RENAME", "FOLDER_SYNC", "ANY"})
  void shouldFormAGroupOnceTheFirstWritesAreAccepted(Position position) {
    try (TestGroup group = groupOnFaultyDisks()) {
      TestVm victim = group.vm("b");
      disk(victim).refuse(position::matches);
      group.startAll();
      TestGroup.await("a repeated write", () -> disk(victim).refusedCount() >= 2);

      disk(victim).refuse((operation, path) -> false);
      group.proposeUntilApplied("before");

      checkTakesPartAgain(group, victim);
    }
  }

  @Test
  void shouldTakePartAgainIfItsDiskRefusesTheFirstWriteAfterAStart() {
    try (TestGroup group = groupOnFaultyDisks()) {
      group.startAll();
      group.proposeUntilApplied("before");
      TestVm victim = group.awaitLeader();
      victim.stopNode();
      disk(victim).refuse(Position.ANY::matches);

      group.start(victim);
      proposeUntil(group, () -> disk(victim).refusedCount() >= 2);

      QuorumStatus status = victim.node.status();
      assertThat(status.diskRefusesSince()).isNotEmpty();
      assertThat(status.diskRefusal()).contains("data folder: java.io.IOException: refused");
      assertThat(victim.node.diskHealth().refusedTime()).isGreaterThan(Duration.ZERO);
      checkTakesPartAgain(group, victim);
    }
  }

  @Test
  void shouldKeepAllChangesWhileOneDiskAfterTheOtherRefuses() {
    try (TestGroup group = groupOnFaultyDisks()) {
      group.startAll();
      group.proposeUntilApplied("before");
      for (TestVm victim : group.vms.values()) {
        disk(victim).refuse(Position.ANY::matches);
        proposeUntil(group, () -> disk(victim).refusedCount() >= 2);
        assertThat(victim.node.status().readOnly()).isTrue();
        disk(victim).refuse((operation, path) -> false);
      }
      group.vms.values().forEach(victim -> checkTakesPartAgain(group, victim));
    }
  }

  /** An error is no refusal: repeating the write would hide that the thread can't go on. */
  @Test
  void shouldReportAFailedThreadSoThatTheProcessEnds() {
    try (TestGroup group = groupOnFaultyDisks()) {
      group.startAll();
      group.proposeUntilApplied("before");
      TestVm victim = group.awaitLeader();

      disk(victim)
          .refuse(
              (operation, path) -> {
                throw new OutOfMemoryError("test");
              });
      group.proposeUntilApplied("after");

      TestGroup.await("the failure", () -> !victim.failedPart.isEmpty());
      assertThat(victim.failedPart).isEqualTo("quorum-disk-" + victim.name);
    }
  }

  private TestGroup groupOnFaultyDisks() {
    TestGroup group = new TestGroup(folder, "a", "b", "c");
    for (TestVm vm : group.vms.values()) {
      vm.disk = new FaultyDisk();
      vm.snapshotIntervalEntries = SNAPSHOT_INTERVAL_ENTRIES;
    }
    return group;
  }

  private static FaultyDisk disk(TestVm vm) {
    return (FaultyDisk) vm.disk;
  }

  private static void proposeUntil(TestGroup group, BooleanSupplier condition) {
    TestGroup.await(
        "a refused write",
        () -> {
          group.proposeUntilApplied("during");
          return condition.getAsBoolean();
        });
  }

  /** Ends the refusal and checks that the voter makes a quorum with one of the others. */
  private static void checkTakesPartAgain(TestGroup group, TestVm victim) {
    disk(victim).refuse((operation, path) -> false);
    TestGroup.await(
        "the disk of " + victim.name + " to accept writes",
        () -> victim.node.status().diskRefusesSince().isEmpty());
    group.awaitSameLines();
    TestVm lost = group.others(victim).get(new Random(victim.name.hashCode()).nextInt(2));
    lost.stopNode();

    group.proposeUntilApplied("without " + lost.name);

    group.awaitLine(victim, "without " + lost.name);
    assertThat(victim.list.lines()).contains("before");
    assertThat(victim.failedPart).isEmpty();
    group.start(lost);
    group.awaitLine(lost, "without " + lost.name);
  }
}
