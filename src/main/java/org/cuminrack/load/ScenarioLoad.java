package org.cuminrack.load;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * Runs scenarios at one load.
 *
 * @param perSecond arrivals a second outside of a surge
 */
record ScenarioLoad(LoadProfile profile, EngineProfile engine, double perSecond) {
  private static final Duration RUN_OUT = Duration.ofMinutes(3);
  private static final Duration BUCKET = Duration.ofSeconds(10);
  private static final double NORMAL_SHARE = 0.95;
  private static final double NANOS_PER_MILLI = 1e6;

  ScenarioResult run(Scenario scenario, PolicyKind policy, long seed) {
    Duration end = Window.AFTER.to();
    List<PlannedRequest> plan =
        Workload.of(profile, seed).plan(perSecond, end, scenario.surge(profile));
    Experiment experiment = new Experiment(profile, engine, policy, seed);
    scenario.prepare(experiment, profile);
    List<RequestRecord> records = experiment.play(plan, end.plus(RUN_OUT));
    double lastNewWork = lastNewWorkMillis(scenario, experiment, records);
    List<RequestRecord> judged = records.stream().filter(judged(scenario)).toList();
    return new ScenarioResult(
        scenario,
        policy,
        seed,
        windows(judged),
        lastNewWork,
        backToNormalSeconds(scenario, judged),
        experiment.crashes());
  }

  private Predicate<RequestRecord> judged(Scenario scenario) {
    if (scenario != Scenario.ORGANISATION_SURGE) {
      return each -> true;
    }
    String surging = Scenario.surgingOrganisation(profile);
    return each -> !each.request().organisation().equals(surging);
  }

  private static Map<Window, RunMetrics> windows(List<RequestRecord> records) {
    Map<Window, RunMetrics> windows = new EnumMap<>(Window.class);
    for (Window window : Window.values()) {
      windows.put(
          window,
          RunMetrics.of(records.stream().filter(each -> window.holds(each.request())).toList()));
    }
    return windows;
  }

  private double lastNewWorkMillis(
      Scenario scenario, Experiment experiment, List<RequestRecord> records) {
    if (scenario != Scenario.DATA_CENTRE_OUT) {
      return 0;
    }
    String drained = profile.dataCentreOf(0);
    long lastNanos =
        records.stream()
            .filter(each -> !each.upstream().isEmpty())
            .filter(each -> experiment.dataCentreOf(each.upstream()).equals(drained))
            .mapToLong(RequestRecord::dispatchNanos)
            .filter(each -> each < Scenario.TO.toNanos())
            .max()
            .orElse(0);
    return Math.max(0, lastNanos - Scenario.FROM.toNanos()) / NANOS_PER_MILLI;
  }

  /** Finds the end of the last bucket with less than the normal share answered within targets. */
  private static double backToNormalSeconds(Scenario scenario, List<RequestRecord> records) {
    Duration from = scenario == Scenario.ENGINE_COLD ? Scenario.FROM : Scenario.TO;
    double normal = shareWithinTargets(records, Duration.ofMinutes(2), Scenario.FROM);
    Duration back = from;
    Duration end = Window.AFTER.to();
    for (Duration at = from; at.compareTo(end) < 0; at = at.plus(BUCKET)) {
      if (shareWithinTargets(records, at, at.plus(BUCKET)) < NORMAL_SHARE * normal) {
        back = at.plus(BUCKET);
      }
    }
    return back.equals(end) ? -1 : (double) back.minus(from).toSeconds();
  }

  private static double shareWithinTargets(
      List<RequestRecord> records, Duration from, Duration to) {
    RunMetrics metrics =
        RunMetrics.of(
            records.stream()
                .filter(each -> each.request().atNanos() >= from.toNanos())
                .filter(each -> each.request().atNanos() < to.toNanos())
                .toList());
    return metrics.offered() == 0 ? 1 : (double) metrics.withinTargets() / metrics.offered();
  }
}
