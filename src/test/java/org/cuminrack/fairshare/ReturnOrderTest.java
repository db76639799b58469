package org.cuminrack.fairshare;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.cuminrack.time.ManualClock;
import org.junit.jupiter.api.Test;

class ReturnOrderTest {
  private static final Duration LONGEST = Duration.ofSeconds(2);

  private final ManualClock clock = new ManualClock();
  private final ReturnOrder order = new ReturnOrder(clock, new Random(1));

  @Test
  void shouldKnowACallerThatReturnsAsTold() {
    Duration told = refuse("a");

    clock.advance(told);

    assertThat(order.takeReturn("a")).isTrue();
    assertThat(order.takeReturn("a")).isFalse();
  }

  @Test
  void shouldGiveNothingToACallerThatReturnsEarly() {
    Duration told = refuse("a");
    clock.advance(told.minusMillis(1));

    assertThat(order.takeReturn("a")).isFalse();
    assertThat(refuse("a")).isAtLeast(Duration.ofMillis(1));
  }

  @Test
  void shouldSpreadCallersThatAreRefusedTogether() {
    Set<Long> told = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      Duration delay = refuse("caller " + i);
      assertThat(delay).isAtMost(LONGEST);
      told.add(delay.toMillis() / 10);
    }

    assertThat(told.size()).isAtLeast(40);
  }

  @Test
  void shouldNotKnowACallerOfAnotherOrganisationOrAfterARestart() {
    clock.advance(refuse("a"));

    assertThat(order.takeReturn("b")).isFalse();
    assertThat(new ReturnOrder(clock, new Random(1)).takeReturn("a")).isFalse();
  }

  private Duration refuse(String key) {
    return order.refuse(key, Duration.ofMillis(300), Duration.ofMillis(40), LONGEST);
  }
}
