package org.cuminrack.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.TicketOutcome;
import org.junit.jupiter.api.Test;

class AdmissionUnderLoadTest {
  private static final Duration TIME_TO_FIRST_TOKEN = Duration.ofMillis(100);
  private static final Duration SERVICE_TIME = Duration.ofMillis(400);

  private final PoolFixture pool = PoolFixture.predictive();

  @Test
  void shouldRefuseRequestsAtOnceIfTheyWouldWaitTooLong() {
    pool.withUpstream("engine-1", 4, 4);
    serveSteadily(10);

    pool.submitMany(100, "shop");

    assertThat(pool.refused).isNotEmpty();
    pool.refused.values().forEach(this::assertOverloaded);
  }

  @Test
  void shouldReturnARetryDelayAfterWhichTheQueueHasDrained() {
    pool.withUpstream("engine-1", 4, 4);
    serveSteadily(10);
    pool.submitMany(30, "shop");
    long refusedId = pool.refused.keySet().iterator().next();
    Duration retryAfter = pool.refused.get(refusedId).retryAfter();

    for (long served = 0; served < retryAfter.toMillis(); served += SERVICE_TIME.toMillis()) {
      pool.advance(SERVICE_TIME);
      pool.completeAll("engine-1", TIME_TO_FIRST_TOKEN, 10);
    }
    long retryId = pool.submit(PoolFixture.request("shop", Priority.STANDARD));

    assertThat(retryAfter).isGreaterThan(Duration.ZERO);
    assertThat(pool.refused).doesNotContainKey(retryId);
  }

  @Test
  void shouldServeASmallOrganisationWhileAnotherFloods() {
    pool.withUpstream("engine-1", 4, 4);
    serveSteadily(10);
    pool.submitMany(200, "flood");

    long small = pool.submit(PoolFixture.request("small", Priority.STANDARD));
    serveOnce();

    assertThat(pool.admitted).containsKey(small);
  }

  @Test
  void shouldShareCapacityByWeight() {
    pool.withUpstream("engine-1", 4, 4);
    pool.applyRules(new PoolRules(false, Set.of(), Map.of("big", 3, "small", 1), Map.of()));
    serveSteadily(10);

    int[] served = new int[2];
    for (int round = 0; round < 50; round++) {
      pool.submitMany(8, "big");
      pool.submitMany(8, "small");
      served[0] += runningOf("big");
      served[1] += runningOf("small");
      serveOnce();
    }

    assertThat((double) served[0] / served[1]).isWithin(0.6).of(3);
  }

  @Test
  void shouldNotLetInteractiveRequestsStarveStandardOnes() {
    pool.withUpstream("engine-1", 8, 8);
    int standardServed = 0;

    for (int round = 0; round < 50; round++) {
      for (int i = 0; i < 20; i++) {
        pool.submit(PoolFixture.request("shop", Priority.INTERACTIVE));
      }
      long standard = pool.submit(PoolFixture.request("shop", Priority.STANDARD));
      serveOnce();
      serveOnce();
      standardServed += pool.refused.containsKey(standard) ? 0 : 1;
    }

    assertThat(standardServed).isAtLeast(25);
  }

  @Test
  void shouldReserveHeadroomForInteractiveRequests() {
    pool.withUpstream("engine-1", 8, 8);
    long first = pool.submit(PoolFixture.request("shop", Priority.INTERACTIVE));
    pool.finish(first, TicketOutcome.Result.COMPLETED, TIME_TO_FIRST_TOKEN, 10);

    pool.submitMany(20, "shop");
    long interactive = pool.submit(PoolFixture.request("shop", Priority.INTERACTIVE));

    assertThat(pool.admitted).containsKey(interactive);
  }

  @Test
  void shouldLimitRetriesByTheRetryBudget() {
    pool.withUpstream("engine-1", 1000, 1000);
    pool.submitMany(100, "shop");

    int allowed = 0;
    for (int i = 0; i < 100; i++) {
      long id = pool.submit(PoolFixture.request("shop", Priority.STANDARD, 2, "shop"));
      allowed += pool.admitted.containsKey(id) ? 1 : 0;
    }

    assertThat(allowed).isAtLeast(2);
    assertThat(allowed).isAtMost(10);
    assertThat(pool.refused.values().iterator().next().reason())
        .isEqualTo(RefusalReason.RETRY_BUDGET);
  }

  @Test
  void shouldRefuseQueuedRequestsWhenTheDataCentreIsDrained() {
    pool.withUpstream("engine-1", 4, 4);
    pool.submitMany(8, "shop");
    int running = pool.outstanding("engine-1").size();

    pool.applyRules(new PoolRules(true, Set.of(), Map.of(), Map.of()));
    pool.advance(TIME_TO_FIRST_TOKEN);
    pool.completeAll("engine-1", TIME_TO_FIRST_TOKEN, 10);

    assertThat(running).isEqualTo(4);
    assertThat(pool.outstanding("engine-1")).isEmpty();
    assertThat(pool.refused).hasSize(4);
    assertThat(pool.submitMany(4, "shop")).isEqualTo(0);
  }

  @Test
  void shouldResetTheLimitOfAWarmUpstreamThatTurnsCold() {
    pool.withUpstream("engine-1", 2, 16);
    for (int round = 0; round < 20; round++) {
      pool.submitMany(16, "shop");
      serveOnce();
    }
    int outstandingWhenWarm = pool.outstanding("engine-1").size();

    pool.completeAll("engine-1", Duration.ofSeconds(3), 10);

    assertThat(outstandingWhenWarm).isEqualTo(16);
    assertThat(pool.submitMany(16, "shop") + pool.outstanding("engine-1").size()).isAtMost(4);
  }

  @Test
  void shouldAdmitNoMoreThanIsPredictedToFitIntoMemory() {
    pool.announce(PoolFixture.announcement("engine-1", "boot-1", 32, 32, 4000));
    for (int i = 0; i < 60; i++) {
      long id = pool.submit(PoolFixture.request("shop", Priority.STANDARD));
      pool.advance(TIME_TO_FIRST_TOKEN);
      pool.finish(id, TicketOutcome.Result.COMPLETED, TIME_TO_FIRST_TOKEN, 500);
    }

    int admitted = pool.submitMany(32, "shop");

    // The engine has memory for 4000 tokens; a request has 100 prompt and about 500 output tokens.
    assertThat(admitted).isAtLeast(5);
    assertThat(admitted * 600).isAtMost(4200);
  }

  private void assertOverloaded(PoolDecision.Refused refusal) {
    assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
  }

  private void serveSteadily(int rounds) {
    for (int i = 0; i < rounds; i++) {
      pool.submitMany(4, "warm-up");
      serveOnce();
    }
    pool.refused.clear();
  }

  private void serveOnce() {
    pool.advance(SERVICE_TIME);
    pool.completeAll("engine-1", TIME_TO_FIRST_TOKEN, 10);
  }

  private int runningOf(String organisation) {
    List<Long> running = pool.outstanding("engine-1");
    return (int) running.stream().filter(each -> pool.belongsTo(each, organisation)).count();
  }
}
