package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RoutingWaitTest {

  @Test
  void shouldLeaveTheCallerHalfOfItsTimeout() {
    assertThat(RoutingWait.maxWait(Optional.of(Duration.ofMillis(1000))))
        .isEqualTo(Duration.ofMillis(500));
  }

  @Test
  void shouldLimitTheWaitOfARequestWithALongTimeout() {
    assertThat(RoutingWait.maxWait(Optional.of(Duration.ofSeconds(39))))
        .isEqualTo(Duration.ofMillis(1600));
  }

  @Test
  void shouldLimitTheWaitOfARequestWithoutATimeoutToLessThanASecond() {
    assertThat(RoutingWait.maxWait(Optional.empty())).isLessThan(Duration.ofSeconds(1));
  }
}
