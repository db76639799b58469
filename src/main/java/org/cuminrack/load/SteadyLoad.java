package org.cuminrack.load;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * A constant load on warm engines, measured after the policy has had time to learn.
 *
 * @param perSecondAtFull arrivals a second that are 100% of the engines' capacity
 */
record SteadyLoad(
    LoadProfile profile, EngineProfile engine, double perSecondAtFull, Duration measured) {
  static final Duration WARM_UP = Duration.ofMinutes(2);
  private static final Duration RUN_OUT = Duration.ofMinutes(2);
  private static final double PERCENT = 100;
  private static final double MILLIS_PER_SECOND = 1_000;

  RunResult run(PolicyKind policy, int loadPercent, long seed) {
    Duration end = WARM_UP.plus(measured);
    double perSecond = perSecondAtFull * loadPercent / PERCENT;
    List<PlannedRequest> plan = Workload.of(profile, seed).plan(perSecond, end);
    Experiment experiment = new Experiment(profile, engine, policy, seed);
    long[] preemptions = new long[2];
    experiment.timeline().at(WARM_UP.toNanos(), () -> preemptions[0] = experiment.preemptions());
    experiment.timeline().at(end.toNanos(), () -> preemptions[1] = experiment.preemptions());
    List<RequestRecord> records = experiment.play(plan, end.plus(RUN_OUT));
    List<RequestRecord> counted =
        records.stream().filter(each -> each.request().atNanos() >= WARM_UP.toNanos()).toList();
    return new RunResult(
        policy,
        loadPercent,
        seed,
        measured.toMillis() / MILLIS_PER_SECOND,
        RunMetrics.of(counted),
        preemptions[1] - preemptions[0],
        experiment.crashes());
  }
}
