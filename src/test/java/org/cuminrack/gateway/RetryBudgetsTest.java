package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.cuminrack.fairshare.QueuePolicy;
import org.junit.jupiter.api.Test;

class RetryBudgetsTest {
  private static final int GATEWAYS = 6;
  private static final double SLACK = 60;

  /** Half of the slack is usable. */
  private static final int SHARE = (int) SLACK / 2 / GATEWAYS;

  private int listedGateways = GATEWAYS;
  private final RetryBudgets budgets =
      new RetryBudgets(
          new GatewaySettings(0.1, SLACK, Duration.ofSeconds(4), "dc-a", QueuePolicy.ARRIVAL),
          () -> listedGateways);

  @Test
  void shouldStartWithAnEqualShareOfTheSlack() {
    assertThat(takeAll()).isEqualTo(SHARE);
  }

  @Test
  void shouldEarnRetriesFromRequests() {
    takeAll();

    for (int i = 0; i < 50; i++) {
      budgets.recordFirstAttempt("shop");
    }

    assertThat(takeAll()).isEqualTo(2);
  }

  @Test
  void shouldShrinkItsShareOnceControlListsTheOtherGateways() {
    listedGateways = 1;
    budgets.recordFirstAttempt("shop");
    listedGateways = GATEWAYS;

    assertThat(takeAll()).isEqualTo(SHARE);
  }

  @Test
  void shouldKeepItsShareWhileControlListsFewerGateways() {
    budgets.recordFirstAttempt("shop");
    listedGateways = 1;

    assertThat(takeAll()).isEqualTo(SHARE);
  }

  private int takeAll() {
    int taken = 0;
    while (budgets.tryAcquireRetry("shop")) {
      taken++;
    }
    return taken;
  }
}
