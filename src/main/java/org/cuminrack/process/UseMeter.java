package org.cuminrack.process;

import java.time.Duration;
import java.util.OptionalDouble;
import org.cuminrack.fleet.GatewaySize;

/**
 * Estimates how much of its processor, link, descriptors and memory a gateway uses, from samples at
 * intervals of about a second. Thread-safe.
 */
final class UseMeter {
  /** The least time between two samples; shorter ones show single requests. */
  static final Duration INTERVAL = Duration.ofSeconds(1);

  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MEGABIT = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** The weight of the newest interval. */
  private static final double NEWEST_WEIGHT = 0.5;

  private final GatewaySize size;
  private UseSample last;
  private OptionalDouble use = OptionalDouble.empty();

  UseMeter(GatewaySize size) {
    this.size = size;
  }

  /** Returns whether a sample is due. */
  synchronized boolean isDue(long nowNanos) {
    return last == null || nowNanos - last.nanos() >= INTERVAL.toNanos();
  }

  /** Adds a sample, unless it is not due. */
  synchronized void add(UseSample sample) {
    if (!isDue(sample.nanos())) {
      return;
    }
    if (last != null) {
      double newest = worst(sample);
      use =
          OptionalDouble.of(
              use.isPresent()
                  ? use.getAsDouble() + NEWEST_WEIGHT * (newest - use.getAsDouble())
                  : newest);
    }
    last = sample;
  }

  private double worst(UseSample sample) {
    double seconds = (sample.nanos() - last.nanos()) / NANOS_PER_SECOND;
    double cores = (sample.cpuNanos() - last.cpuNanos()) / NANOS_PER_SECOND / seconds;
    double mbps =
        (sample.transferredBytes() - last.transferredBytes())
            * BITS_PER_BYTE
            / BITS_PER_MEGABIT
            / seconds;
    double flows = Math.max(fraction(cores, size.cores()), fraction(mbps, size.linkMbps()));
    double stocks =
        Math.max(
            fraction((double) sample.descriptors(), size.descriptors()), sample.heapFraction());
    return Math.max(0, Math.max(flows, stocks));
  }

  private static double fraction(double used, double limit) {
    return limit > 0 ? used / limit : 0;
  }

  /** Returns the used fraction of what is used most; empty before the second sample. */
  synchronized OptionalDouble use() {
    return use;
  }
}
