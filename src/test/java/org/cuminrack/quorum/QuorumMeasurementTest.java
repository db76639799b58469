package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Prints the measured figures. {@code -Dcuminrack.measure.millis=N} sets the duration of a run. */
class QuorumMeasurementTest {
  private static final Duration DURATION =
      Duration.ofMillis(Long.getLong("cuminrack.measure.millis", 300));

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(ints = {1, 16, 256})
  void shouldMeasureProposals(int proposers) {
    QuorumLoadResult result = new QuorumMeasurement(folder, 3, DURATION).runLoad(proposers);

    System.out.println(result);
    assertThat(result.proposalsPerSecond()).isGreaterThan(0);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5})
  void shouldMeasureAnIdleGroup(int replicas) {
    QuorumIdleResult result = new QuorumMeasurement(folder, replicas, DURATION).runIdle();

    System.out.println(result);
    assertThat(result.replicas()).isEqualTo(replicas);
  }
}
