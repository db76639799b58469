package org.cuminrack.load;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * Simulates a constant load on warm engines and measures it after a warm-up, in which the policy
 * collects statistics.
 *
 * @param capacityPerSecond arrivals per second at 100% of the engines' capacity
 */
record SteadyLoadRunner(
    LoadProfile profile,
    EngineProfile engine,
    double capacityPerSecond,
    Duration measurementDuration) {
  static final Duration WARM_UP = Duration.ofMinutes(2);

  /** How long requests may still run after the last arrival. */
  private static final Duration COMPLETION_TIMEOUT = Duration.ofMinutes(2);

  private static final double FULL_LOAD_PERCENT = 100;
  private static final double MILLIS_PER_SECOND = 1_000;

  SteadyLoadResult run(PolicyKind policy, int loadPercent, long seed) {
    Duration end = WARM_UP.plus(measurementDuration);
    double arrivalsPerSecond = capacityPerSecond * loadPercent / FULL_LOAD_PERCENT;
    List<PlannedRequest> plan = Workload.of(profile, seed).plan(arrivalsPerSecond, end);
    Simulation simulation = new Simulation(profile, engine, policy, seed);
    long[] preemptionsAtStartAndEnd = new long[2];
    simulation
        .timeline()
        .at(WARM_UP.toNanos(), () -> preemptionsAtStartAndEnd[0] = simulation.preemptions());
    simulation
        .timeline()
        .at(end.toNanos(), () -> preemptionsAtStartAndEnd[1] = simulation.preemptions());
    List<RequestRecord> records = simulation.run(plan, end.plus(COMPLETION_TIMEOUT));
    List<RequestRecord> counted =
        records.stream()
            .filter(each -> each.request().arrivalNanos() >= WARM_UP.toNanos())
            .toList();
    return new SteadyLoadResult(
        policy,
        loadPercent,
        seed,
        measurementDuration.toMillis() / MILLIS_PER_SECOND,
        RequestMetrics.of(counted),
        preemptionsAtStartAndEnd[1] - preemptionsAtStartAndEnd[0],
        simulation.crashes());
  }
}
