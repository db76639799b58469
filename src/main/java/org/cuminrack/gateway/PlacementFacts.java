package org.cuminrack.gateway;

import org.cuminrack.log.LogEvent;
import org.cuminrack.pace.Pace;

/**
 * What was known of an upstream when it was chosen.
 *
 * @param dataCentre the data centre of the upstream
 * @param choice why one in that data centre was chosen
 * @param pace its pace as it counted
 * @param firstOutputMillis the expected time to the first output of a generation; 0 for others
 */
record PlacementFacts(
    String dataCentre, DataCentreChoice choice, Pace pace, long firstOutputMillis) {
  /** Adds the facts to a log line. */
  LogEvent addTo(LogEvent event) {
    return event
        .with("data_centre", dataCentre)
        .with("data_centre_choice", choice.label())
        .with("pace", String.format("%.2f", pace.slowdown()))
        .with("expected_first_output_ms", firstOutputMillis);
  }
}
