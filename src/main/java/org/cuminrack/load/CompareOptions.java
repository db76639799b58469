package org.cuminrack.load;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * The options of a comparison of policies.
 *
 * @param policies the policies, in the order of the table's rows
 * @param loadPercents arrival rates in percent of the engines' capacity
 * @param scenarios scenarios to run at {@code scenarioPercent} of the capacity
 * @param seeds number of runs for each policy and load
 * @param measurementDuration length of the measurement in each run
 * @param threads maximum number of concurrent runs
 * @param engine the profile of each engine
 * @param csvFile file for the results of every run; empty to write none
 */
public record CompareOptions(
    List<PolicyKind> policies,
    List<Integer> loadPercents,
    List<Scenario> scenarios,
    int scenarioPercent,
    int seeds,
    Duration measurementDuration,
    int threads,
    EngineProfile engine,
    String csvFile) {}
