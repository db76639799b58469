package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EngineStallTest {

  @Test
  void shouldCountASilentEngineAsLostAfterTheLongestEventGap() {
    assertThat(EngineStall.isLost(Duration.ofMillis(1200), true)).isFalse();
    assertThat(EngineStall.isLost(Duration.ofMillis(1201), true)).isTrue();
  }

  @Test
  void shouldNotCountAnAnnouncingEngineAsLost() {
    assertThat(EngineStall.isLost(Duration.ofMillis(1201), false)).isFalse();
    assertThat(EngineStall.isLost(Duration.ofSeconds(30), false)).isFalse();
  }
}
