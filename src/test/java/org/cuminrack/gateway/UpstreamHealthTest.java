package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
  private final ManualClock clock = new ManualClock();
  private final UpstreamHealth health = new UpstreamHealth(clock);

  @Test
  void shouldAvoidAnUpstreamDuringTheBackoffAfterAFailure() {
    health.recordFailure("i-1");

    assertThat(health.isAvoided("i-1")).isTrue();
    clock.advance(Duration.ofMillis(401));
    assertThat(health.isAvoided("i-1")).isFalse();
  }

  @Test
  void shouldIncreaseTheBackoffAfterEachFailure() {
    health.recordFailure("i-1");
    health.recordFailure("i-1");
    clock.advance(Duration.ofMillis(401));

    assertThat(health.isAvoided("i-1")).isTrue();
  }

  @Test
  void shouldEndTheBackoffAfterASuccess() {
    health.recordFailure("i-1");
    health.recordSuccess("i-1");

    assertThat(health.isAvoided("i-1")).isFalse();
  }

  @Test
  void shouldNeverAvoidForLongerThanFiveSeconds() {
    for (int i = 0; i < 40; i++) {
      health.recordFailure("i-1");
    }
    clock.advance(Duration.ofSeconds(5).plusMillis(1));

    assertThat(health.isAvoided("i-1")).isFalse();
  }
}
