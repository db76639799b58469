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
 * @param backToNormalSeconds time from the end of the disturbance, or from its start if it has no
 *     end, until the goodput stays normal; negative if it did not recover within the run
 */
public record ScenarioResult(
    Scenario scenario,
    PolicyKind policy,
    long seed,
    Map<ScenarioPhase, RunMetrics> metricsByPhase,
    double lastDispatchMillis,
    double backToNormalSeconds,
    int crashes) {}
