package org.cuminrack.process;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.List;
import java.util.function.LongSupplier;
import org.cuminrack.fleet.GatewayLoad;
import org.cuminrack.fleet.GatewaySize;
import org.cuminrack.time.Clock;

/** A gateway's size by its settings, and how much of it this process uses. Thread-safe. */
final class GatewayUse {
  private final GatewaySize size;
  private final UseMeter meter;
  private final LongSupplier transferredBytes;
  private final Clock clock;
  private final List<MemoryPoolMXBean> pools =
      ManagementFactory.getMemoryPoolMXBeans().stream()
          .filter(pool -> pool.getType() == MemoryType.HEAP)
          // Of the heap, only old generations have this.
          .filter(MemoryPoolMXBean::isUsageThresholdSupported)
          .toList();

  GatewayUse(GatewaySize size, LongSupplier transferredBytes, Clock clock) {
    this.size = size;
    this.meter = new UseMeter(size);
    this.transferredBytes = transferredBytes;
    this.clock = clock;
  }

  /** Returns the size and the use; nothing if the settings state no size. */
  GatewayLoad load() {
    if (!size.isStated()) {
      return GatewayLoad.UNKNOWN;
    }
    if (meter.isDue(clock.nanoTime())) {
      meter.add(sample());
    }
    return new GatewayLoad(size, meter.use());
  }

  private UseSample sample() {
    long cpuNanos = 0;
    long descriptors = 0;
    if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
      cpuNanos = system.getProcessCpuTime();
      descriptors = system.getOpenFileDescriptorCount();
    }
    return new UseSample(
        clock.nanoTime(), cpuNanos, transferredBytes.getAsLong(), descriptors, heapFraction());
  }

  private double heapFraction() {
    return pools.stream()
        .map(MemoryPoolMXBean::getCollectionUsage)
        .filter(usage -> usage != null && usage.getMax() > 0)
        .mapToDouble(GatewayUse::fraction)
        .max()
        .orElse(0);
  }

  private static double fraction(MemoryUsage usage) {
    return (double) usage.getUsed() / usage.getMax();
  }
}
