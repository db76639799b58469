package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the core in a simulation with random faults. {@code -Dcuminrack.exploration.seeds=N} sets
 * the number of seeds, {@code -Dcuminrack.exploration.first=S} the first one.
 */
class ExplorationTest {
  private static final long FIRST_SEED = Long.getLong("cuminrack.exploration.first", 1);
  private static final int SEEDS = Integer.getInteger("cuminrack.exploration.seeds", 150);
  private static final int STEPS = 6_000;
  private static final int MUTATION_STEPS = 2_000;

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5})
  void shouldKeepInvariantsAndRecover(int size) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      explore(seed, size);
    }
  }

  /** Guards against a replica that is broken for good, or votes twice, once its disk refused. */
  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void shouldVoteOnceATermAndRecoverIfDisksRefuseVotesToo(int size) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      explore(new Simulation(seed, size, Mutation.NONE, true), seed, size);
    }
  }

  /**
   * A frozen leader resumes, commits the joint voter set, appends the completed one and sees a
   * higher term, all in one batch of events. It has lost the completed set again when its commit is
   * checked, which is no violation.
   */
  @Test
  void shouldAcceptCommitByVotersCompletedInTheSameBatch() {
    explore(1368, 5);

    ReplicaId a = new ReplicaId("a", 1);
    ReplicaId d = new ReplicaId("d", 4);
    VoterSet voters = VoterSet.of(Map.of("a", 1L, "b", 2L, "c", 3L));
    VoterSet joint = voters.replacing("c", d, "");
    LogEntry jointEntry = new LogEntry(1, 1, EntryKind.VOTERS, joint.encode());
    LogEntry next = new LogEntry(2, 1, EntryKind.NO_OPERATION, new byte[0]);
    Invariants invariants = new Invariants();
    invariants.recordFormation(new SnapshotImage(0, 0, 1, voters, new byte[0]));
    joint.replicas().forEach(voter -> invariants.recordSync(voter, jointEntry));
    List.of(a, d).forEach(voter -> invariants.recordSync(voter, next));

    assertThrows(
        Invariants.InvariantViolation.class, () -> new Invariants().checkApply(a, next, joint, 1));
    invariants.checkApply(a, jointEntry, joint, 1);
    invariants.checkApply(a, next, joint, 1);
  }

  private static void explore(long seed, int size) {
    explore(new Simulation(seed, size, Mutation.NONE), seed, size);
  }

  private static void explore(Simulation simulation, long seed, int size) {
    try {
      simulation.run(STEPS);
      boolean recovered = simulation.endAllFaultsAndAwaitRecovery();
      assertWithMessage("recovery with seed %s, size %s: %s", seed, size, simulation.describe())
          .that(recovered)
          .isTrue();
    } catch (RuntimeException e) {
      throw new AssertionError(
          "seed " + seed + ", size " + size + ": " + e + " " + simulation.describe(), e);
    }
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void shouldDetectEachMutation(Mutation mutation) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + 40L * SEEDS; seed++) {
      Simulation simulation =
          new Simulation(seed, 3, mutation, mutation == Mutation.TRUSTS_A_REPEATED_SYNC);
      try {
        simulation.run(MUTATION_STEPS);
      } catch (RuntimeException e) {
        System.out.println(mutation + " found with seed " + seed + ": " + e.getMessage());
        return;
      }
    }
    throw new AssertionError(
        mutation + ": expected a violation, found none from seed " + FIRST_SEED);
  }

  @Test
  void shouldCommitManyEntriesInMostRuns() {
    long productiveRuns =
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
            .filter(seed -> committedIndexAfterRun(seed) > 20)
            .count();

    assertWithMessage("runs with many committed entries, of %s", SEEDS)
        .that(productiveRuns)
        .isGreaterThan(SEEDS / 2L);
  }

  private static long committedIndexAfterRun(long seed) {
    Simulation simulation = new Simulation(seed, 3, Mutation.NONE);
    simulation.run(STEPS);
    return simulation.invariants.committedIndex();
  }
}
