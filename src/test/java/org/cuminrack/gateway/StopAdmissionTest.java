package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class StopAdmissionTest {
  private static final Duration STOP_TIMEOUT = Duration.ofMillis(7500);
  private static final Duration LONG_DEADLINE = Duration.ofSeconds(39);

  private final ManualClock clock = new ManualClock();
  private final StopAdmission admission = new StopAdmission(clock);

  @Test
  void shouldAdmitEverythingBeforeTheStop() {
    assertThat(admission.admits(LONG_DEADLINE)).isTrue();
  }

  /**
   * Guards against requests that are admitted because they usually end in time: at each moment, the
   * deadline alone bounds how long an upstream may take.
   */
  @Test
  void shouldAdmitAtEachMomentOfTheStopWhatEndsBeforeItsEndWhateverTheUpstreamDoes() {
    admission.begin(STOP_TIMEOUT);

    for (long atMillis = 0; atMillis <= STOP_TIMEOUT.toMillis(); atMillis += 100) {
      for (long deadlineMillis : List.of(1L, 200L, 1_000L, 1_500L, 6_000L, 7_499L, 39_000L)) {
        assertWithMessage("a deadline of %s ms at %s ms", deadlineMillis, atMillis)
            .that(admission.admits(Duration.ofMillis(deadlineMillis)))
            .isEqualTo(atMillis + deadlineMillis < STOP_TIMEOUT.toMillis());
      }
      clock.advance(Duration.ofMillis(100));
    }
  }

  @Test
  void shouldDecideTheSameOnARequestThroughoutTheStop() {
    admission.begin(STOP_TIMEOUT);

    for (long ageMillis = 0; ageMillis < 6_000; ageMillis += 100) {
      assertThat(admission.admits(Duration.ofMillis(7_400 - ageMillis))).isTrue();
      assertThat(admission.admits(Duration.ofMillis(7_600 - ageMillis))).isFalse();
      clock.advance(Duration.ofMillis(100));
    }
  }

  @Test
  void shouldAdmitNothingOnceTheStopHasEnded() {
    admission.begin(STOP_TIMEOUT);
    clock.advance(Duration.ofMillis(6_500));
    admission.end();

    assertThat(admission.admits(Duration.ofMillis(1))).isFalse();
  }
}
