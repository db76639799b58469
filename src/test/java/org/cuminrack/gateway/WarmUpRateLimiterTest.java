package org.cuminrack.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cuminrack.fleet.UpstreamPhase;
import org.cuminrack.fleet.UpstreamRecord;
import org.junit.jupiter.api.Test;

class WarmUpRateLimiterTest {
  private static final double REQUESTS_PER_SECOND = 20;
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();

  @Test
  void shouldEnforceTheRateLimitAcrossAllGateways() {
    for (int gateways : List.of(1, 7, 55)) {
      int sent = sentInOneSecond(gateways, upstreamColdUntil(5 * SECOND_NANOS));

      assertThat(sent).isAtMost((int) (REQUESTS_PER_SECOND * 1.5));
      assertThat(sent).isAtLeast((int) (REQUESTS_PER_SECOND * 0.5));
    }
  }

  @Test
  void shouldNotLimitWarmUpstreams() {
    assertThat(sentInOneSecond(7, upstreamColdUntil(0))).isEqualTo(7 * 1000);
  }

  @Test
  void shouldNotLimitServicesWithoutARateLimit() {
    WarmUpRateLimiter limiter = new WarmUpRateLimiter(new Random(1));

    assertThat(limiter.allows(upstreamColdUntil(SECOND_NANOS), 0, 7, 0)).isTrue();
  }

  /**
   * Returns the number of requests sent in one second if each gateway, every millisecond, sends one
   * whenever it is allowed to.
   */
  private static int sentInOneSecond(int gateways, UpstreamRecord upstream) {
    Random random = new Random(1);
    List<WarmUpRateLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      limiters.add(new WarmUpRateLimiter(random));
    }
    int sent = 0;
    for (long nowNanos = 0; nowNanos < SECOND_NANOS; nowNanos += MILLI_NANOS) {
      for (WarmUpRateLimiter limiter : limiters) {
        if (limiter.allows(upstream, REQUESTS_PER_SECOND, gateways, nowNanos)) {
          limiter.recordRequest(upstream, nowNanos);
          sent++;
        }
      }
    }
    return sent;
  }

  private static UpstreamRecord upstreamColdUntil(long untilNanos) {
    return new UpstreamRecord(
        "i-1", "shop", "10.0.0.1:80", "dc-a", 6, UpstreamPhase.READY, 100, 1, untilNanos, 0);
  }
}
