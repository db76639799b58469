package org.cuminrack.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;
import org.junit.jupiter.api.Test;

class SimulationTest {
  private static final LoadProfile PROFILE = ProfileFile.read("lyzicka").get();
  private static final EngineProfile ENGINE = EngineProfile.standard();
  private static final Duration DURATION = Duration.ofMinutes(2);

  @Test
  void shouldProduceTheSameResultsForTheSameSeed() {
    SteadyLoadRunner load = new SteadyLoadRunner(PROFILE, ENGINE, 24, Duration.ofSeconds(20));

    SteadyLoadResult first = load.run(PolicyKind.PREDICTIVE, 100, 3);
    SteadyLoadResult second = load.run(PolicyKind.PREDICTIVE, 100, 3);

    assertThat(SteadyLoadTable.of(List.of(first)).csv())
        .isEqualTo(SteadyLoadTable.of(List.of(second)).csv());
  }

  @Test
  void shouldCompleteAllRequestsWithoutStallsAtLowLoad() {
    Simulation simulation = simulation(PolicyKind.LEAST_CONNECTIONS);

    RequestMetrics metrics = RequestMetrics.of(run(simulation, 5));

    assertThat(metrics.completed()).isEqualTo(metrics.offered());
    assertThat(metrics.stallMillis()).isEqualTo(0.0);
  }

  @Test
  void shouldSendNoNewRequestsToADrainedDataCentre() {
    Simulation simulation = simulation(PolicyKind.PREDICTIVE);
    long drainedNanos = Duration.ofMinutes(1).toNanos();
    simulation.timeline().at(drainedNanos, () -> simulation.drain("dc-a", true));

    List<RequestRecord> records = run(simulation, 5);

    List<RequestRecord> sentToDrained =
        records.stream()
            .filter(each -> !each.upstream().isEmpty())
            .filter(each -> simulation.dataCentreOf(each.upstream()).equals("dc-a"))
            .toList();
    assertThat(sentToDrained).isNotEmpty();
    sentToDrained.forEach(each -> assertThat(each.dispatchNanos()).isAtMost(drainedNanos));
  }

  @Test
  void shouldLoseRunningRequestsOfACrashedEngine() {
    Simulation simulation = simulation(PolicyKind.ROUND_ROBIN);
    long coldNanos = Duration.ofMinutes(1).toNanos();
    simulation.timeline().at(coldNanos, () -> simulation.engine(0).makeCold());

    RequestMetrics metrics = RequestMetrics.of(run(simulation, 20));

    assertThat(simulation.crashes()).isAtLeast(1);
    assertThat(metrics.lost()).isAtLeast(1);
  }

  private static Simulation simulation(PolicyKind policy) {
    return new Simulation(PROFILE, ENGINE, policy, 1);
  }

  private static List<RequestRecord> run(Simulation simulation, double arrivalsPerSecond) {
    List<PlannedRequest> plan = Workload.of(PROFILE, 1).plan(arrivalsPerSecond, DURATION);
    return simulation.run(plan, DURATION.plusMinutes(10));
  }
}
