package org.cuminrack.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.cuminrack.admission.Priority;
import org.cuminrack.admission.RefusalReason;
import org.cuminrack.admission.TicketOutcome;
import org.junit.jupiter.api.Test;

class PoolCoreTest {
  private static final Duration TIME_TO_FIRST_TOKEN = Duration.ofMillis(100);

  private final PoolFixture pool = PoolFixture.predictive();

  @Test
  void shouldNotExceedTheColdLimitOfAColdUpstream() {
    pool.withUpstream("engine-1", 2, 32);

    assertThat(pool.submitMany(20, "shop")).isEqualTo(2);
  }

  @Test
  void shouldRaiseTheLimitToTheWarmLimitAsRequestsComplete() {
    pool.withUpstream("engine-1", 2, 8);

    int rounds = 0;
    while (pool.outstanding("engine-1").size() < 8 && rounds < 10) {
      pool.submitMany(8, "shop");
      pool.advance(TIME_TO_FIRST_TOKEN);
      pool.completeAll("engine-1", TIME_TO_FIRST_TOKEN, 10);
      pool.submitMany(8, "shop");
      rounds++;
    }

    assertThat(pool.outstanding("engine-1")).hasSize(8);
    assertThat(rounds).isGreaterThan(1);
  }

  @Test
  void shouldStartARestartedUpstreamAtTheColdLimit() {
    pool.withUpstream("engine-1", 8, 8);
    pool.submitMany(8, "shop");

    pool.announce(PoolFixture.announcement("engine-1", "boot-2", 2, 8, 0));

    assertThat(pool.submitMany(8, "shop")).isEqualTo(2);
  }

  @Test
  void shouldRefuseAPoisonRequestWithoutRetryAfter() {
    pool.withUpstream("engine-1", 2, 2);
    pool.applyRules(new PoolRules(false, Set.of(), Map.of(), Map.of("bad", 2)));

    long id = pool.submit(PoolFixture.request("shop", Priority.STANDARD, 1, "bad"));

    assertThat(pool.refused.get(id))
        .isEqualTo(new PoolDecision.Refused(id, RefusalReason.POISON, Duration.ZERO));
  }

  @Test
  void shouldRunASuspectAlone() {
    pool.withUpstream("engine-1", 2, 2).withUpstream("engine-2", 2, 2);
    pool.applyRules(new PoolRules(false, Set.of(), Map.of(), Map.of("odd", 1)));

    long id = pool.submit(PoolFixture.request("shop", Priority.STANDARD, 1, "odd"));
    pool.submitMany(8, "shop");

    String upstream = pool.admitted.get(id).upstream();
    assertThat(pool.admitted.get(id).exclusive()).isTrue();
    assertThat(pool.outstanding(upstream)).containsExactly(id);
  }

  @Test
  void shouldEndTheReservationOnceTheSuspectHasCompleted() {
    pool.withUpstream("engine-1", 2, 2);
    pool.applyRules(new PoolRules(false, Set.of(), Map.of(), Map.of("odd", 1)));
    long id = pool.submit(PoolFixture.request("shop", Priority.STANDARD, 1, "odd"));

    pool.finish(id, TicketOutcome.Result.COMPLETED, TIME_TO_FIRST_TOKEN, 10);

    assertThat(pool.submitMany(4, "shop")).isEqualTo(2);
  }

  @Test
  void shouldRefuseWhenNoUpstreamIsKnown() {
    long id = pool.submit(PoolFixture.request("shop", Priority.STANDARD));

    assertThat(pool.refusalReasonOf(id)).isEqualTo(RefusalReason.NO_UPSTREAM);
  }

  @Test
  void shouldNotAdmitToARetiredUpstream() {
    pool.withUpstream("engine-1", 2, 2).withUpstream("engine-2", 2, 2);

    pool.applyRules(new PoolRules(false, Set.of("engine-1"), Map.of(), Map.of()));
    pool.submitMany(8, "shop");

    assertThat(pool.outstanding("engine-1")).isEmpty();
    assertThat(pool.outstanding("engine-2")).hasSize(2);
  }

  @Test
  void shouldNotAdmitToALeavingUpstream() {
    pool.withUpstream("engine-1", 2, 2);
    Report leaving = new Report("engine-1", "boot-1", 1, 0, 0, 0, 0, true);

    var unused = pool.core.reported(leaving, pool.clock.nanoTime());

    assertThat(pool.submitMany(4, "shop")).isEqualTo(0);
  }

  @Test
  void shouldNotAdmitToAnUpstreamThatStoppedReporting() {
    pool.withUpstream("engine-1", 2, 2);

    pool.stopReporting("engine-1");
    pool.advance(PoolLimits.SILENT_AFTER.plus(TIME_TO_FIRST_TOKEN));

    assertThat(pool.submitMany(4, "shop")).isEqualTo(0);
  }
}
