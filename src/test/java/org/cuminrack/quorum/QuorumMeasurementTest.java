package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** {@code -Dcuminrack.measure.millis=10000} measures for longer; the figures are printed. */
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
  void shouldMeasureTheGroupAtRest(int replicas) {
    QuorumRestResult result = new QuorumMeasurement(folder, replicas, DURATION).runAtRest();

    System.out.println(result);
    assertThat(result.replicas()).isEqualTo(replicas);
  }
}
