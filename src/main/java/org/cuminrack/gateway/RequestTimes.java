package org.cuminrack.gateway;

import java.time.Duration;

/** Is told how long requests took. Called on I/O threads. */
public interface RequestTimes {

  /** A stream's first event went to its caller this long after the request had come. */
  void firstEvent(Duration after);

  /**
   * A request ended.
   *
   * @param outcome one of the few words of the {@code request-ended} line
   */
  void ended(String outcome, Duration after);
}
