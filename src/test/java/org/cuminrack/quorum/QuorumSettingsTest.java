package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QuorumSettingsTest {
  private static final Map<String, String> THREE_VMS = Map.of("a", "a:1", "b", "b:1", "c", "c:1");

  @Test
  void shouldRejectLossesThatFixedVotersCannotTolerate() {
    IllegalArgumentException failure =
        assertThrows(
            IllegalArgumentException.class,
            () -> newSettings(THREE_VMS, 0, new LossTolerance(2, 0)));

    assertThat(failure)
        .hasMessageThat()
        .isEqualTo("tolerance: expected at most 3 voters needed, found 5");
  }

  @Test
  void shouldAcceptLossesForWhichVotersJoinLater() {
    LossTolerance tolerance = new LossTolerance(2, 1);

    assertThat(newSettings(THREE_VMS, 7200, tolerance).tolerance()).isEqualTo(tolerance);
  }

  @Test
  void shouldRejectAGroupWithoutFounders() {
    IllegalArgumentException failure =
        assertThrows(
            IllegalArgumentException.class,
            () -> newSettings(Map.of(), 7200, new LossTolerance(0, 0)));

    assertThat(failure)
        .hasMessageThat()
        .isEqualTo("founders: expected one or more VMs, found none");
  }

  private static QuorumSettings newSettings(
      Map<String, String> founders, int joinPort, LossTolerance tolerance) {
    return new QuorumSettings(
        "a",
        "dc-a",
        founders,
        joinPort,
        true,
        tolerance,
        Path.of("data"),
        Duration.ofMillis(100),
        Duration.ofMillis(500),
        Duration.ofMillis(1000),
        100);
  }
}
