package org.cuminrack.load;

import java.util.Map;
import org.cuminrack.pool.PolicyKind;

/**
 * One run of a scenario.
 *
 * @param windows what callers saw before, during and after; in a surge, of the other organisations
 * @param lastNewWorkMillis from the operators' decision to the last new request that the drained
 *     data centre received; 0 in other scenarios
 * @param backToNormalSeconds from the end of the trouble until the goodput is normal for good;
 *     negative where it was not within the run
 */
public record ScenarioResult(
    Scenario scenario,
    PolicyKind policy,
    long seed,
    Map<Window, RunMetrics> windows,
    double lastNewWorkMillis,
    double backToNormalSeconds,
    int crashes) {}
