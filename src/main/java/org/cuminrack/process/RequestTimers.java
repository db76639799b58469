package org.cuminrack.process;

import java.time.Duration;
import org.cuminrack.gateway.RequestTimes;
import org.cuminrack.metrics.Metrics;

/** Shows how long requests took as histograms. */
final class RequestTimers implements RequestTimes {
  private final Metrics metrics;

  RequestTimers(Metrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void firstEvent(Duration after) {
    metrics.timer("cuminrack.gateway.first.event").record(after);
  }

  @Override
  public void ended(String outcome, Duration after) {
    metrics.timer("cuminrack.gateway.request", "outcome", outcome).record(after);
  }
}
