package org.cuminrack.load;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * The options of a comparison of policies.
 *
 * @param policies policies, in the order of the tables' rows
 * @param loadPercents steady arrival rates in percent of the engines' capacity
 * @param scenarios scenarios to run at {@code scenarioPercent} of the capacity
 * @param seeds number of runs for each policy and load, and for each policy and scenario
 * @param measurementDuration length of the measurement in each run
 * @param threads maximum number of concurrent runs
 * @param engine the profile of each engine
 * @param csvFile CSV file for the results of the steady-load runs; empty to write none
 */
public record ComparisonOptions(
    List<PolicyKind> policies,
    List<Integer> loadPercents,
    List<Scenario> scenarios,
    int scenarioPercent,
    int seeds,
    Duration measurementDuration,
    int threads,
    EngineProfile engine,
    String csvFile) {}
