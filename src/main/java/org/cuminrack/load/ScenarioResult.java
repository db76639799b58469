package org.cuminrack.load;

import java.util.Map;
import org.cuminrack.pool.PolicyKind;

/**
 * The result of one run of a scenario.
 *
 * @param metricsByPhase metrics of requests before, during and after the disturbance; in a surge,
 *     without those of the surging organisation
 * @param lastDispatchMillis milliseconds from the operators' decision to drain to the last dispatch
 *     to the drained data centre; 0 in other scenarios
 * @param recoverySeconds time from the end of the disturbance, or from its start if it has no end,
 *     until the share of requests within the targets stays normal; negative if it did not recover
 *     within the run
 */
public record ScenarioResult(
    Scenario scenario,
    PolicyKind policy,
    long seed,
    Map<ScenarioPhase, RequestMetrics> metricsByPhase,
    double lastDispatchMillis,
    double recoverySeconds,
    int crashes) {}
