package org.cuminrack.gateway;

import java.time.Duration;

/** Records request durations. Called on I/O threads. */
public interface RequestTimes {

  /** Records the time from a request's arrival to the first event of its stream. */
  void firstEvent(Duration after);

  /**
   * Records the duration of a request that ended.
   *
   * @param outcome one of the outcomes in the {@code request-ended} log event
   */
  void ended(String outcome, Duration after);
}
