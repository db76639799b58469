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

  /**
   * Records how long a request waited for a place, if it waited or was refused.
   *
   * @param outcome {@code placed} or {@code refused}
   */
  void recordQueued(String service, int priority, String outcome, Duration waited);

  /** Records the time from the end of a request that is given up to that of its connections. */
  void recordGivenUp(Duration untilClosed);

  /** Records by how much the wait of a placed request differed from its estimate. */
  void recordEstimateError(String service, int priority, Duration error);
}
