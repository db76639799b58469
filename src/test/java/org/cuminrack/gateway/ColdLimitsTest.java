package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.junit.jupiter.api.Test;

class ColdLimitsTest {
  private static final double PER_SECOND = 20;
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long MILLI = Duration.ofMillis(1).toNanos();

  @Test
  void shouldKeepTheLimitOverAllGateways() {
    for (int gateways : List.of(1, 7, 55)) {
      int sent = sentInASecond(gateways, cold(5 * SECOND));

      assertThat(sent).isAtMost((int) (PER_SECOND * 1.5));
      assertThat(sent).isAtLeast((int) (PER_SECOND * 0.5));
    }
  }

  @Test
  void shouldLimitNoWarmUpstream() {
    assertThat(sentInASecond(7, cold(0))).isEqualTo(7 * 1000);
  }

  @Test
  void shouldLimitNothingWhereTheServiceNamesNoLimit() {
    ColdLimits limits = new ColdLimits(new Random(1));

    assertThat(limits.allows(cold(SECOND), 0, 7, 0)).isTrue();
  }

  /** Every gateway sends whenever it may, tried once a millisecond. */
  private static int sentInASecond(int gateways, UpstreamRecord upstream) {
    Random draws = new Random(1);
    List<ColdLimits> all = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      all.add(new ColdLimits(draws));
    }
    int sent = 0;
    for (long now = 0; now < SECOND; now += MILLI) {
      for (ColdLimits each : all) {
        if (each.allows(upstream, PER_SECOND, gateways, now)) {
          each.recordRequest(upstream, now);
          sent++;
        }
      }
    }
    return sent;
  }

  private static UpstreamRecord cold(long untilNanos) {
    return new UpstreamRecord(
        "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 1, untilNanos, 0);
  }
}
