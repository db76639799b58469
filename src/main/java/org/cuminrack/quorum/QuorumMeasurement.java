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
 * proposals a second and their latency, and what the group costs at rest.
 */
public final class QuorumMeasurement {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int COMMAND_BYTES = 256;
  private static final int DIGITS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Path folder;
  private final int size;
  private final Duration duration;

  /**
   * Prepares a measurement.
   *
   * @param folder an empty folder on the disk to measure
   * @param size how many replicas
   * @param duration how long each part takes
   */
  public QuorumMeasurement(Path folder, int size, Duration duration) {
    this.folder = folder;
    this.size = size;
    this.duration = duration;
  }

  /**
   * Runs one load.
   *
   * @param proposers how many proposals are under way at any time
   */
  public QuorumLoadResult runLoad(int proposers) {
    MeasuredGroup group = new MeasuredGroup(folder.resolve("load-" + proposers), size);
    group.start();
    try {
      return propose(group.awaitLeader(), proposers);
    } finally {
      group.stop();
    }
  }

  private QuorumLoadResult propose(QuorumNode leader, int proposers) {
    Histogram latencies = new ConcurrentHistogram(DIGITS);
    AtomicLong failures = new AtomicLong();
    CountDownLatch done = new CountDownLatch(proposers);
    long begin = System.nanoTime();
    long end = begin + duration.toNanos();
    for (int i = 0; i < proposers; i++) {
      proposeUntil(leader, end, latencies, failures, done);
    }
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
    return new QuorumLoadResult(
        size,
        proposers,
        latencies.getTotalCount() / seconds,
        latencies.getValueAtPercentile(50) / 1000,
        latencies.getValueAtPercentile(99) / 1000,
        failures.get());
  }

  private static void proposeUntil(
      QuorumNode leader, long end, Histogram latencies, AtomicLong failures, CountDownLatch done) {
    long begin = System.nanoTime();
    if (begin >= end) {
      done.countDown();
      return;
    }
    leader
        .propose(new byte[COMMAND_BYTES], TIMEOUT)
        .thenAccept(
            outcome -> {
              count(outcome, System.nanoTime() - begin, latencies, failures);
              proposeUntil(leader, end, latencies, failures, done);
            });
  }

  private static void count(
      Either<ProposalFailure, Applied> outcome,
      long nanos,
      Histogram latencies,
      AtomicLong failures) {
    if (outcome.isRight()) {
      latencies.recordValue(nanos);
    } else {
      failures.incrementAndGet();
    }
  }

  /** Lets the group rest and returns what that costs. */
  public QuorumRestResult runAtRest() {
    MeasuredGroup group = new MeasuredGroup(folder.resolve("rest"), size);
    group.start();
    try {
      group.awaitLeader();
      return rest(group);
    } finally {
      group.stop();
    }
  }

  private QuorumRestResult rest(MeasuredGroup group) {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    waitFor(duration);
    long packets = group.packets();
    long bytes = group.bytes();
    long cpuNanos = system.getProcessCpuTime();
    long begin = System.nanoTime();
    waitFor(duration);
    double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
    return new QuorumRestResult(
        size,
        (group.packets() - packets) / seconds,
        (group.bytes() - bytes) / seconds,
        (system.getProcessCpuTime() - cpuNanos) / seconds / NANOS_PER_SECOND);
  }

  private static void waitFor(Duration duration) {
    long end = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() < end) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
  }
}
