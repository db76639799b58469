package org.cuminrack.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.cuminrack.lifecycle.ManagedService;

/** The metrics of one process. Names begin with {@code cuminrack.} and end with their unit. */
public final class Metrics implements ManagedService {
  /** From a fast plain answer to the longest stream. */
  private static final Duration[] BOUNDS =
      Stream.of(5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000, 60_000)
          .map(Duration::ofMillis)
          .toArray(Duration[]::new);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final JvmGcMetrics gcMetrics = new JvmGcMetrics();

  @Override
  public void start() {
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    gcMetrics.bindTo(registry);
  }

  /** Shows a value that is read from an object at each scrape. */
  public <T> Metrics gauge(String name, T object, ToDoubleFunction<T> value) {
    Gauge.builder(name, object, value).strongReference(true).register(registry);
    return this;
  }

  /** Shows a value that only grows. */
  public <T> Metrics counter(String name, T object, ToDoubleFunction<T> value) {
    FunctionCounter.builder(name, object, value).register(registry);
    return this;
  }

  /**
   * Returns a timer that is shown as a histogram, in seconds; made at its first use.
   *
   * @param tags names and values in turn; of each name only a few values
   */
  public Timer timer(String name, String... tags) {
    return Timer.builder(name).tags(tags).serviceLevelObjectives(BOUNDS).register(registry);
  }

  /** Returns all metrics in the Prometheus text form. */
  public String scrape() {
    return registry.scrape();
  }

  @Override
  public void stop() {
    gcMetrics.close();
    registry.close();
  }
}
