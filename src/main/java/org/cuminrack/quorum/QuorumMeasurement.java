package org.cuminrack.quorum;

import com.sun.management.OperatingSystemMXBean;
import io.vavr.control.Either;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the replicated log with all replicas in this process, over loopback and with real syncs:
 * throughput and latency of proposals, and the resource usage of an idle group.
 */
public final class QuorumMeasurement {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int COMMAND_BYTES = 256;
  private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Path folder;
  private final int size;
  private final Duration duration;

  /**
   * Creates a measurement.
   *
   * @param folder an empty folder on the disk to measure
   * @param size the number of replicas
   * @param duration the duration of each measurement
   */
  public QuorumMeasurement(Path folder, int size, Duration duration) {
    this.folder = folder;
    this.size = size;
    this.duration = duration;
  }

  /**
   * Measures a group under load.
   *
   * @param proposers the number of concurrent proposals
   */
  public QuorumLoadResult runLoad(int proposers) {
    MeasuredGroup group = new MeasuredGroup(folder.resolve("load-" + proposers), size);
    group.start();
    try {
      return measureLoad(group.awaitLeader(), proposers);
    } finally {
      group.stop();
    }
  }

  private QuorumLoadResult measureLoad(QuorumNode leader, int proposers) {
    Histogram latencies = new ConcurrentHistogram(HISTOGRAM_SIGNIFICANT_DIGITS);
    AtomicLong failures = new AtomicLong();
    CountDownLatch done = new CountDownLatch(proposers);
    long startNanos = System.nanoTime();
    long endNanos = startNanos + duration.toNanos();
    for (int i = 0; i < proposers; i++) {
      proposeUntil(leader, endNanos, latencies, failures, done);
    }
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    return new QuorumLoadResult(
        size,
        proposers,
        latencies.getTotalCount() / seconds,
        latencies.getValueAtPercentile(50) / 1000,
        latencies.getValueAtPercentile(99) / 1000,
        failures.get());
  }

  private static void proposeUntil(
      QuorumNode leader,
      long endNanos,
      Histogram latencies,
      AtomicLong failures,
      CountDownLatch done) {
    long startNanos = System.nanoTime();
    if (startNanos >= endNanos) {
      done.countDown();
      return;
    }
    leader
        .propose(new byte[COMMAND_BYTES], TIMEOUT)
        .thenAccept(
            outcome -> {
              recordOutcome(outcome, System.nanoTime() - startNanos, latencies, failures);
              proposeUntil(leader, endNanos, latencies, failures, done);
            });
  }

  private static void recordOutcome(
      Either<ProposalFailure, AppliedProposal> outcome,
      long nanos,
      Histogram latencies,
      AtomicLong failures) {
    if (outcome.isRight()) {
      latencies.recordValue(nanos);
    } else {
      failures.incrementAndGet();
    }
  }

  /**
   * Measures the resource usage of an idle group. The measurement starts one duration after a
   * leader was elected.
   */
  public QuorumIdleResult runIdle() {
    MeasuredGroup group = new MeasuredGroup(folder.resolve("rest"), size);
    group.start();
    try {
      group.awaitLeader();
      return measureIdle(group);
    } finally {
      group.stop();
    }
  }

  private QuorumIdleResult measureIdle(MeasuredGroup group) {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    sleepFor(duration);
    long packetsBefore = group.packetsSent();
    long bytesBefore = group.bytesSent();
    long cpuNanosBefore = system.getProcessCpuTime();
    long startNanos = System.nanoTime();
    sleepFor(duration);
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    return new QuorumIdleResult(
        size,
        (group.packetsSent() - packetsBefore) / seconds,
        (group.bytesSent() - bytesBefore) / seconds,
        (system.getProcessCpuTime() - cpuNanosBefore) / seconds / NANOS_PER_SECOND);
  }

  private static void sleepFor(Duration duration) {
    long endNanos = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() < endNanos) {
      LockSupport.parkNanos(endNanos - System.nanoTime());
    }
  }
}
