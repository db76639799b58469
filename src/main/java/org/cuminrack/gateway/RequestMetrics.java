package org.cuminrack.gateway;

import java.time.Duration;

/** Records request durations. Called on I/O threads. */
public interface RequestMetrics {

  /** Records the time from a request's arrival to the first event of its stream. */
  void recordFirstEvent(Duration sinceArrival);

  /**
   * Records the duration of a request that ended.
   *
   * @param outcome one of the outcomes in the {@code request-ended} log event
   */
  void recordRequest(String outcome, Duration duration);
}
