package org.cuminrack.process;

import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminrack.gateway.RequestMetrics;
import org.cuminrack.metrics.Metrics;

/** Records request durations in histograms. */
final class RequestTimers implements RequestMetrics {
  private final Metrics metrics;
  private final Map<String, Timer> timersByOutcome = new ConcurrentHashMap<>();

  RequestTimers(Metrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void recordFirstEvent(Duration elapsed) {
    metrics.timer("cuminrack.gateway.first.event").record(elapsed);
  }

  @Override
  public void recordRequest(String outcome, Duration elapsed) {
    timersByOutcome
        .computeIfAbsent(outcome, key -> metrics.timer("cuminrack.gateway.request", "outcome", key))
        .record(elapsed);
  }

  @Override
  public void recordQueued(String service, int priority, String outcome, Duration waited) {
    metrics
        .timer(
            "cuminrack.gateway.queue",
            "service",
            service,
            "priority",
            Integer.toString(priority),
            "outcome",
            outcome)
        .record(waited);
  }

  @Override
  public void recordGivenUp(Duration untilClosed) {
    metrics.timer("cuminrack.gateway.given.up.close").record(untilClosed);
  }

  @Override
  public void recordEstimateError(String service, int priority, Duration error) {
    metrics
        .timer(
            "cuminrack.gateway.queue.estimate.error",
            "service",
            service,
            "priority",
            Integer.toString(priority))
        .record(error);
  }
}
