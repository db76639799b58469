package org.cuminrack.load;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * Runs scenarios at one arrival rate.
 *
 * @param perSecond arrivals per second outside of a surge
 */
record ScenarioRunner(LoadProfile profile, EngineProfile engine, double perSecond) {
  /** How long requests may still run after the last arrival. */
  private static final Duration COMPLETION_TIMEOUT = Duration.ofMinutes(3);

  private static final Duration BUCKET = Duration.ofSeconds(10);
  private static final double MIN_SHARE_OF_NORMAL = 0.95;
  private static final double NANOS_PER_MILLI = 1e6;

  ScenarioResult run(Scenario scenario, PolicyKind policy, long seed) {
    Duration end = ScenarioPhase.AFTER.end();
    List<PlannedRequest> plan =
        Workload.of(profile, seed).plan(perSecond, end, scenario.surge(profile));
    Simulation simulation = new Simulation(profile, engine, policy, seed);
    scenario.schedule(simulation, profile);
    List<RequestRecord> records = simulation.run(plan, end.plus(COMPLETION_TIMEOUT));
    double lastDispatchMillis = lastDispatchMillis(scenario, simulation, records);
    List<RequestRecord> countedRequests = records.stream().filter(isCounted(scenario)).toList();
    return new ScenarioResult(
        scenario,
        policy,
        seed,
        metricsByPhase(countedRequests),
        lastDispatchMillis,
        backToNormalSeconds(scenario, countedRequests),
        simulation.crashes());
  }

  /** Leaves out the surging organisation's requests. */
  private Predicate<RequestRecord> isCounted(Scenario scenario) {
    if (scenario != Scenario.ORGANISATION_SURGE) {
      return each -> true;
    }
    String surging = Scenario.surgingOrganisation(profile);
    return each -> !each.request().organisation().equals(surging);
  }

  private static Map<ScenarioPhase, RunMetrics> metricsByPhase(List<RequestRecord> records) {
    Map<ScenarioPhase, RunMetrics> metrics = new EnumMap<>(ScenarioPhase.class);
    for (ScenarioPhase phase : ScenarioPhase.values()) {
      metrics.put(
          phase,
          RunMetrics.of(records.stream().filter(each -> phase.contains(each.request())).toList()));
    }
    return metrics;
  }

  private double lastDispatchMillis(
      Scenario scenario, Simulation simulation, List<RequestRecord> records) {
    if (scenario != Scenario.DATA_CENTRE_OUT) {
      return 0;
    }
    String drained = profile.dataCentreOf(0);
    long lastNanos =
        records.stream()
            .filter(each -> !each.upstream().isEmpty())
            .filter(each -> simulation.dataCentreOf(each.upstream()).equals(drained))
            .mapToLong(RequestRecord::dispatchNanos)
            .filter(each -> each < Scenario.END.toNanos())
            .max()
            .orElse(0);
    return Math.max(0, lastNanos - Scenario.START.toNanos()) / NANOS_PER_MILLI;
  }

  /**
   * Returns the seconds from the end of the disturbance, or from its start if it has no end, until
   * the share of requests within the targets stays normal, in whole buckets; -1 if it did not
   * recover in the run.
   */
  private static double backToNormalSeconds(Scenario scenario, List<RequestRecord> records) {
    Duration from = scenario == Scenario.ENGINE_COLD ? Scenario.START : Scenario.END;
    // The first two minutes are warm-up.
    double normal = shareWithinTargets(records, Duration.ofMinutes(2), Scenario.START);
    Duration recovered = from;
    Duration end = ScenarioPhase.AFTER.end();
    for (Duration bucketStart = from;
        bucketStart.compareTo(end) < 0;
        bucketStart = bucketStart.plus(BUCKET)) {
      if (shareWithinTargets(records, bucketStart, bucketStart.plus(BUCKET))
          < MIN_SHARE_OF_NORMAL * normal) {
        recovered = bucketStart.plus(BUCKET);
      }
    }
    return recovered.equals(end) ? -1 : (double) recovered.minus(from).toSeconds();
  }

  private static double shareWithinTargets(
      List<RequestRecord> records, Duration from, Duration to) {
    RunMetrics metrics =
        RunMetrics.of(
            records.stream()
                .filter(each -> each.request().arrivalNanos() >= from.toNanos())
                .filter(each -> each.request().arrivalNanos() < to.toNanos())
                .toList());
    return metrics.offered() == 0 ? 1 : (double) metrics.withinTargets() / metrics.offered();
  }
}
