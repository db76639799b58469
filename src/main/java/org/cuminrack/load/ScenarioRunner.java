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
 * @param arrivalsPerSecond arrivals per second outside of a surge
 */
record ScenarioRunner(LoadProfile profile, EngineProfile engine, double arrivalsPerSecond) {
  /** How long requests may still run after the last arrival. */
  private static final Duration COMPLETION_TIMEOUT = Duration.ofMinutes(3);

  private static final Duration BUCKET_LENGTH = Duration.ofSeconds(10);
  private static final double MIN_SHARE_OF_NORMAL = 0.95;
  private static final double NANOS_PER_MILLI = 1e6;

  ScenarioResult run(Scenario scenario, PolicyKind policy, long seed) {
    Duration end = ScenarioPhase.AFTER.end();
    List<PlannedRequest> plan =
        Workload.of(profile, seed).plan(arrivalsPerSecond, end, scenario.surge(profile));
    Simulation simulation = new Simulation(profile, engine, policy, seed);
    scenario.schedule(simulation, profile);
    List<RequestRecord> records = simulation.run(plan, end.plus(COMPLETION_TIMEOUT));
    double lastDispatchMillis = lastDispatchMillis(scenario, simulation, records);
    List<RequestRecord> countedRequests = records.stream().filter(requestFilter(scenario)).toList();
    return new ScenarioResult(
        scenario,
        policy,
        seed,
        metricsByPhase(countedRequests),
        lastDispatchMillis,
        recoverySeconds(scenario, countedRequests),
        simulation.crashes());
  }

  /** Returns a filter that, in a surge, excludes the requests of the surging organisation. */
  private Predicate<RequestRecord> requestFilter(Scenario scenario) {
    if (scenario != Scenario.ORGANISATION_SURGE) {
      return each -> true;
    }
    String surging = Scenario.surgingOrganisation(profile);
    return each -> !each.request().organisation().equals(surging);
  }

  private static Map<ScenarioPhase, RequestMetrics> metricsByPhase(List<RequestRecord> records) {
    Map<ScenarioPhase, RequestMetrics> metrics = new EnumMap<>(ScenarioPhase.class);
    for (ScenarioPhase phase : ScenarioPhase.values()) {
      metrics.put(
          phase,
          RequestMetrics.of(
              records.stream().filter(each -> phase.contains(each.request())).toList()));
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
   * Returns the time from the end of the disturbance, or from its start if it has no end, until the
   * share of requests within the targets stays normal, as a multiple of the bucket length; -1 if it
   * did not recover within the run.
   */
  private static double recoverySeconds(Scenario scenario, List<RequestRecord> records) {
    Duration from = scenario == Scenario.ENGINE_COLD ? Scenario.START : Scenario.END;
    // The first two minutes are warm-up.
    double normal = shareWithinTargets(records, Duration.ofMinutes(2), Scenario.START);
    Duration recovered = from;
    Duration end = ScenarioPhase.AFTER.end();
    for (Duration bucketStart = from;
        bucketStart.compareTo(end) < 0;
        bucketStart = bucketStart.plus(BUCKET_LENGTH)) {
      if (shareWithinTargets(records, bucketStart, bucketStart.plus(BUCKET_LENGTH))
          < MIN_SHARE_OF_NORMAL * normal) {
        recovered = bucketStart.plus(BUCKET_LENGTH);
      }
    }
    return recovered.equals(end) ? -1 : (double) recovered.minus(from).toSeconds();
  }

  private static double shareWithinTargets(
      List<RequestRecord> records, Duration from, Duration to) {
    RequestMetrics metrics =
        RequestMetrics.of(
            records.stream()
                .filter(each -> each.request().arrivalNanos() >= from.toNanos())
                .filter(each -> each.request().arrivalNanos() < to.toNanos())
                .toList());
    return metrics.offered() == 0 ? 1 : (double) metrics.withinTargets() / metrics.offered();
  }
}
