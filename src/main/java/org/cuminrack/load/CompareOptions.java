package org.cuminrack.load;

import java.time.Duration;
import java.util.List;
import org.cuminrack.pool.PolicyKind;
import org.cuminrack.standin.EngineProfile;

/**
 * What is compared.
 *
 * @param policies in the order of the table's rows
 * @param loadPercents arrivals as shares of the engines' capacity
 * @param scenarios what happens at {@code scenarioPercent} of the capacity
 * @param seeds runs of each policy and load
 * @param measured measured time of each run
 * @param threads runs at one time
 * @param engine the engines that the profile runs on
 * @param csvFile where every run's figures go; empty for nowhere
 */
public record CompareOptions(
    List<PolicyKind> policies,
    List<Integer> loadPercents,
    List<Scenario> scenarios,
    int scenarioPercent,
    int seeds,
    Duration measured,
    int threads,
    EngineProfile engine,
    String csvFile) {}
