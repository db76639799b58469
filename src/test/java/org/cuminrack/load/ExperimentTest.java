package org.cuminrack.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;
import org.junit.jupiter.api.Test;

class ExperimentTest {
  private static final LoadProfile PROFILE = ProfileFile.read("lyzicka").get();
  private static final EngineProfile ENGINE = EngineProfile.standard();
  private static final Duration LENGTH = Duration.ofMinutes(2);

  @Test
  void shouldGiveTheSameFiguresForTheSameSeed() {
    SteadyLoad load = new SteadyLoad(PROFILE, ENGINE, 24, Duration.ofSeconds(20));

    RunResult one = load.run(PolicyKind.PREDICTIVE, 100, 3);
    RunResult other = load.run(PolicyKind.PREDICTIVE, 100, 3);

    assertThat(ComparisonTable.of(List.of(one)).csv())
        .isEqualTo(ComparisonTable.of(List.of(other)).csv());
  }

  @Test
  void shouldAnswerEveryoneWholeAtALowLoad() {
    Experiment experiment = experiment(PolicyKind.LEAST_CONNECTIONS);

    RunMetrics metrics = RunMetrics.of(play(experiment, 5));

    assertThat(metrics.whole()).isEqualTo(metrics.offered());
    assertThat(metrics.stallMillis()).isEqualTo(0.0);
  }

  @Test
  void shouldSendADrainedDataCentreNoNewWork() {
    Experiment experiment = experiment(PolicyKind.PREDICTIVE);
    long drainedNanos = Duration.ofMinutes(1).toNanos();
    experiment.timeline().at(drainedNanos, () -> experiment.drain("dc-a", true));

    List<RequestRecord> records = play(experiment, 5);

    List<RequestRecord> sentThere =
        records.stream()
            .filter(each -> !each.upstream().isEmpty())
            .filter(each -> experiment.dataCentreOf(each.upstream()).equals("dc-a"))
            .toList();
    assertThat(sentThere).isNotEmpty();
    sentThere.forEach(each -> assertThat(each.dispatchNanos()).isAtMost(drainedNanos));
  }

  @Test
  void shouldLoseTheRunningRequestsOfAnEngineThatFallsOver() {
    Experiment experiment = experiment(PolicyKind.ROUND_ROBIN);
    long coldNanos = Duration.ofMinutes(1).toNanos();
    experiment.timeline().at(coldNanos, () -> experiment.engine(0).makeCold());

    RunMetrics metrics = RunMetrics.of(play(experiment, 20));

    assertThat(experiment.crashes()).isAtLeast(1);
    assertThat(metrics.lost()).isAtLeast(1);
  }

  private static Experiment experiment(PolicyKind policy) {
    return new Experiment(PROFILE, ENGINE, policy, 1);
  }

  private static List<RequestRecord> play(Experiment experiment, double perSecond) {
    List<PlannedRequest> plan = Workload.of(PROFILE, 1).plan(perSecond, LENGTH);
    return experiment.play(plan, LENGTH.plusMinutes(10));
  }
}
