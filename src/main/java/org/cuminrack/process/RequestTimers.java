package org.cuminrack.process;

import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.gateway.RequestMetrics;
import org.cuminrack.metrics.Metrics;

/** Shows how long requests took as histograms. */
final class RequestTimers implements RequestMetrics {
  private final Metrics metrics;
  private final Map<String, Timer> byOutcome = new ConcurrentHashMap<>();

  RequestTimers(Metrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void recordFirstEvent(Duration after) {
    metrics.timer("cuminrack.gateway.first.event").record(after);
  }

  @Override
  public void recordRequest(String outcome, Duration after) {
    byOutcome
        .computeIfAbsent(
            outcome, each -> metrics.timer("cuminrack.gateway.request", "outcome", each))
        .record(after);
  }
}
