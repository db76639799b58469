package org.cuminrack.sharing;

import static com.google.common.truth.Truth.assertThat;
import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminrack.fairshare.OrganisationDemand;
import org.cuminrack.gateway.UpstreamLoad;
import org.cuminrack.sharing.SimulatedBoards.SimulatedGateway;
import org.junit.jupiter.api.Test;

class BoardExchangeTest {
  private static final Duration QUESTION = Duration.ofMillis(10);

  private final SimulatedBoards boards = SimulatedBoards.of(6, 4);
  private final SimulatedGateway first = boards.others().get(0);
  private final SimulatedGateway second = boards.others().get(1);

  @Test
  void shouldTellABeginAndAnEndWithinARoundTrip() {
    first.begin("i-0", 100);
    boards.run(QUESTION);
    second.learnsWithin(QUESTION);
    int whileRunning = second.requestsOn("i-0");
    first.end("i-0", 100);
    boards.run(Duration.ofMillis(20));
    second.learnsWithin(QUESTION);

    assertThat(whileRunning).isEqualTo(1);
    assertThat(second.requestsOn("i-0")).isEqualTo(0);
  }

  @Test
  void shouldAskOnceForRequestsThatComeTogether() {
    long before = boards.calls;
    for (int i = 0; i < 50; i++) {
      first.clients.refresh(SimulatedBoards.SERVICE, () -> {});
    }
    boards.run(QUESTION);

    assertThat(boards.calls).isEqualTo(before + 1);
  }

  @Test
  void shouldTellGrowthAtMostFourTimesASecond() {
    first.begin("i-0", 100);
    boards.run(QUESTION);
    long before = boards.calls;
    for (int i = 0; i < 200; i++) {
      first.loads.add("i-0", new UpstreamLoad(0, 1, 0));
      boards.run(Duration.ofMillis(5));
    }

    assertThat(boards.calls - before).isAtMost(4);
    boards.run(Duration.ofMillis(300));
    second.learnsWithin(QUESTION);
    assertThat(second.loads.total("i-0").reservedTokens()).isEqualTo(300);
  }

  @Test
  void shouldRefreshAndRetryWhileRequestsWait() {
    second.begin("i-1", 100);
    second.waitingServices.add(SimulatedBoards.SERVICE);
    first.begin("i-0", 100);
    boards.run(Duration.ofMillis(200));
    int before = second.changes;
    first.end("i-0", 100);
    boards.run(Duration.ofMillis(200));

    assertThat(second.changes).isGreaterThan(before);
    assertThat(second.requestsOn("i-0")).isEqualTo(0);
  }

  @Test
  void shouldTellTheDemandOfOrganisations() {
    List<OrganisationDemand> demand =
        List.of(new OrganisationDemand(SimulatedBoards.SERVICE, "org", 1, 100, 200, 2));
    first.demand.replaceOwn(SimulatedBoards.SERVICE, demand);
    first.begin("i-0", 100);
    boards.run(QUESTION);
    second.learnsWithin(QUESTION);

    assertThat(second.demand.others(SimulatedBoards.SERVICE)).isEqualTo(demand);
    assertThat(first.demand.others(SimulatedBoards.SERVICE)).isEmpty();
  }

  @Test
  void shouldDivideManyUpstreamsAndAskTwoPools() {
    SimulatedBoards large = SimulatedBoards.of(6, 300);
    SimulatedGateway gateway = large.others().get(0);

    assertThat(gateway.learnsWithin(QUESTION)).isTrue();
    long current = large.upstreams.all().stream().filter(gateway.clients::isCurrent).count();
    assertThat(gateway.clients.boardsByPool()).hasSize(2);
    // Two of eight pools of about 38 upstreams.
    assertThat(current).isGreaterThan(40L);
    assertThat(current).isLessThan(120L);
  }

  @Test
  void shouldMoveOnlyThePoolsOfALostGateway() {
    Set<String> remaining = boards.others().stream().map(each -> each.vm).collect(toSet());
    String lost = boards.board().vm;
    Map<PoolId, String> before = boards.boardsOf(200);
    boards.setLive(remaining);
    Map<PoolId, String> after = boards.boardsOf(200);

    assertThat(Set.copyOf(before.values())).hasSize(6);
    before.forEach(
        (pool, vm) -> {
          if (vm.equals(lost)) {
            assertThat(after.get(pool)).isNotEqualTo(lost);
          } else {
            assertThat(after.get(pool)).isEqualTo(vm);
          }
        });
  }
}
