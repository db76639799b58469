package org.cuminrack.quorum.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.LongStream;
import org.cuminrack.quorum.LossTolerance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs open groups in a simulation with random faults and lost disks; the properties of {@link
 * ExplorationTest} set the seeds.
 */
class OpenGroupExplorationTest {
  private static final long FIRST_SEED = Long.getLong("cuminrack.exploration.first", 1);
  private static final int SEEDS = Integer.getInteger("cuminrack.exploration.seeds", 20);
  private static final int STEPS = 6_000;

  @ParameterizedTest
  @CsvSource({"3, 1", "4, 1", "5, 2", "6, 2", "7, 2"})
  void shouldKeepCommandsAndRecoverFromLostDisks(int size, int vmLosses) {
    LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).forEach(seed -> explore(seed, size, vmLosses));
  }

  /** Replicas with an old log never found the leader among voters that they did not know. */
  @ParameterizedTest
  @ValueSource(longs = {16, 87, 121})
  void shouldLetReplicasWithAnOldLogJoinAgain(long seed) {
    explore(seed, 5, 2);
  }

  @Test
  void shouldLoseDisksInMostRuns() {
    long runsWithLosses =
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
            .filter(seed -> explore(seed, 5, 2).lostDisks() > 1)
            .count();

    assertThat(runsWithLosses).isGreaterThan(SEEDS / 2L);
  }

  private static OpenGroupSimulation explore(long seed, int size, int vmLosses) {
    OpenGroupSimulation simulation =
        new OpenGroupSimulation(seed, size, new LossTolerance(vmLosses, 1));
    String run = "seed " + seed + ", size " + size + ", VM losses " + vmLosses + ": ";
    try {
      simulation.run(STEPS);
      boolean recovered = simulation.endAllFaultsAndAwaitRecovery();
      assertWithMessage("recovery with " + run + simulation.describe()).that(recovered).isTrue();
    } catch (RuntimeException e) {
      throw new AssertionError(run + e + " " + simulation.describe(), e);
    }
    return simulation;
  }
}
