package org.cuminrack.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.cuminrack.lifecycle.ManagedService;

/**
 * The metrics of one process. Names begin with {@code cuminrack.}; names of quantities in bytes end
 * with the unit, and timers are exported in seconds. The registry is created at its first use, so
 * that it doesn't delay the start of a process.
 */
public final class Metrics implements ManagedService {
  /** Histogram buckets that cover durations from a fast plain response to the longest stream. */
  private static final Duration[] BUCKET_BOUNDS =
      Stream.of(5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000, 60_000)
          .map(Duration::ofMillis)
          .toArray(Duration[]::new);

  private final List<Consumer<MeterRegistry>> pendingRegistrations = new ArrayList<>();
  private PrometheusMeterRegistry registry;
  private JvmGcMetrics gcMetrics;

  @Override
  public void start() {}

  private synchronized PrometheusMeterRegistry registry() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      gcMetrics = new JvmGcMetrics();
      gcMetrics.bindTo(registry);
      new JvmMemoryMetrics().bindTo(registry);
      new ProcessorMetrics().bindTo(registry);
    }
    pendingRegistrations.forEach(registration -> registration.accept(registry));
    pendingRegistrations.clear();
    return registry;
  }

  private synchronized void defer(Consumer<MeterRegistry> registration) {
    pendingRegistrations.add(registration);
  }

  /** Adds a gauge whose value is read from an object at each scrape. */
  public <T> Metrics gauge(String name, T object, ToDoubleFunction<T> value) {
    defer(meters -> Gauge.builder(name, object, value).strongReference(true).register(meters));
    return this;
  }

  /** Adds a counter whose monotonically increasing value is read from an object at each scrape. */
  public <T> Metrics counter(String name, T object, ToDoubleFunction<T> value) {
    defer(meters -> FunctionCounter.builder(name, object, value).register(meters));
    return this;
  }

  /**
   * Returns a timer, exported as a histogram in seconds; creates it at its first use.
   *
   * @param tags alternating names and values; each name must have few distinct values
   */
  public Timer timer(String name, String... tags) {
    return Timer.builder(name)
        .tags(tags)
        .serviceLevelObjectives(BUCKET_BOUNDS)
        .register(registry());
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    return registry().scrape();
  }

  @Override
  public synchronized void stop() {
    if (registry != null) {
      gcMetrics.close();
      registry.close();
    }
  }
}
